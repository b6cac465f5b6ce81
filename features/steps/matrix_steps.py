"""Steps on the fault matrix."""

import os
import pathlib

from behave import then

from features.harness import matrix
from jasperweir.components.control import controller  # noqa: F401
from jasperweir.components.entry import node  # noqa: F401
from jasperweir.components.experts import messages  # noqa: F401
from jasperweir.helpers import codec

GOLDEN = pathlib.Path(__file__).parent.parent / "golden"
# Kinds whose faults are met by processes, by the registry's scenarios or, for
# the load that entries share, by those on balancing. Orders to engines travel
# inside other messages. The list of groups is delayed and duplicated in
# groups.feature; there an entry also acts on one that is out of date, as it
# does when the next one is lost. Parts of large messages are lost, repeated and
# delayed in transfers.feature. Questions to voters and entries and the answers
# to them are lost and delayed in configuration_schedules.feature.
ELSEWHERE = (
    "confirmation.",
    "control.",
    "config.",
    "op.",
    "balance.",
    "order.",
    "groups.",
    "link.",
)


@then('every cell of "{protocol}" holds as recorded')
def cells(context, protocol):
    lines = [
        f"{kind} | {fault} | {state}"
        for kind, fault, state in matrix.table(protocol)
    ]
    text = "\n".join(lines) + "\n"
    path = GOLDEN / f"matrix-{protocol}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(text, encoding="utf-8")
    assert path.read_text(encoding="utf-8") == text, text


@then(
    "every registered message belongs to a protocol of the matrix "
    "or is named as proved elsewhere"
)
def no_hole(context):
    known = tuple(f"{name}." for name in matrix.CELLS) + ELSEWHERE
    holes = [kind for kind in codec.list_kinds() if not kind.startswith(known)]
    assert not holes, holes
