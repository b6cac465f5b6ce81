"""Constants of runs."""

RESERVE_SECONDS = 30.0
# Finished answers stay for resends; the claim window is as long.
KEPT_SECONDS = 600.0
# Idempotent runs are kept only for as long as a caller may resume them.
RESUME_SECONDS = 20.0
KEPT_BYTES_MAX = 24 * 1024 * 1024
RUN_BYTES_MAX = 8 * 1024 * 1024
# A run whose last reader went away waits this long for another one.
ORPHAN_SECONDS = 3.0

H_INCARNATION = "Jasperweir-Incarnation"
H_OFFSET = "Jasperweir-Offset"
H_LOAD = "Jasperweir-Load"
H_CACHED = "Jasperweir-Cached"
# Newest prefixes named with each answer; a hint, so a few will do.
CACHED_NAMED = 4
H_RUN_STATE = "Jasperweir-Run"
H_REASON = "Jasperweir-Reason"
# With a run that broke because the engine ended: the number of that end.
H_ENGINE_END = "Jasperweir-Engine-End"

REFUSED_LEAVING = "leaving"
REFUSED_FULL = "full"
REFUSED_INCARNATION = "incarnation"
REFUSED_RESERVATION = "reservation"
REFUSED_REVOKED = "revoked"
REFUSED_SERVICE = "service"
REFUSED_NOT_READY = "not_ready"
