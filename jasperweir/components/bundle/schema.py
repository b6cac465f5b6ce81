"""Schema of bundle files."""

from jasperweir.components.bundle import const
from jasperweir.helpers import settings

SCHEMA: settings.Schema = {
    "bundle": settings.Section(
        fields={
            "name": settings.text(),
            "note": settings.text(default=""),
        }
    ),
    "experts": settings.Section(
        required=False,
        fields={
            # 1 considers only step skew, 0 only the cost of moves.
            "skew_weight": settings.number(low=0, high=1, default=0.5),
            "store_moves_per_s": settings.number(
                low=0.01, high=100000, default=16.0
            ),
            "grant_steps": settings.integer(low=1, high=10000, default=32),
        },
    ),
    "callers": settings.Section(
        required=False,
        fields={
            "address_ttl_s": settings.number(low=1, high=3600, default=10.0),
            "claim_window_s": settings.number(low=1, high=86400, default=600.0),
            "deadline_s": settings.number(low=0.1, high=3600, default=60.0),
            "unknown_customers": settings.choice(
                "refuse", "serve", default="serve"
            ),
        },
    ),
    "place ": settings.Section(
        fields={
            "region": settings.text(),
            "order": settings.integer(low=0, high=10000, default=0),
        }
    ),
    "service ": settings.Section(
        fields={
            "kind": settings.choice(const.KIND_MODEL, const.KIND_PLAIN),
            "adapters": settings.words(default=()),
            "places": settings.words(default=()),
            "group": settings.text(default=""),
            "max_in_flight": settings.integer(low=1, high=100000, default=64),
            "idempotent": settings.boolean(default=True),
            "first_token_s": settings.number(
                low=0.001, high=3600, default=const.DEFAULT_FIRST_TOKEN_SECONDS
            ),
            "token_gap_s": settings.number(
                low=0.001, high=3600, default=const.DEFAULT_TOKEN_GAP_SECONDS
            ),
            "objective": settings.number(
                low=0.5, high=0.99999, default=const.DEFAULT_OBJECTIVE
            ),
        }
    ),
    "customer ": settings.Section(
        fields={
            "weight": settings.number(low=0.01, high=10000, default=1.0),
            "priority": settings.integer(low=0, high=9, default=5),
        }
    ),
}
