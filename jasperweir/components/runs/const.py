"""Constants of runs."""

RESERVATION_SECONDS = 30.0
# Retention of answers of keyed runs, equal to the claim window by default.
RETENTION_SECONDS = 600.0
# Retention of answers of other runs, which a caller may resume.
RESUMABLE_SECONDS = 20.0
MAX_STORED_BYTES = 24 * 1024 * 1024
MAX_RUN_BYTES = 8 * 1024 * 1024
# Time for which a run without readers waits for another one.
ORPHAN_TIMEOUT_SECONDS = 3.0

H_INCARNATION = "Jasperweir-Incarnation"
H_OFFSET = "Jasperweir-Offset"
H_LOAD = "Jasperweir-Load"
H_CACHED = "Jasperweir-Cached"
# Number of recently cached prefixes that each answer reports.
MAX_REPORTED_PREFIXES = 4
H_RUN_STATE = "Jasperweir-Run"
H_REASON = "Jasperweir-Reason"
# Number of the engine crash that broke a run.
H_ENGINE_END = "Jasperweir-Engine-End"

REFUSED_LEAVING = "leaving"
REFUSED_FULL = "full"
REFUSED_INCARNATION = "incarnation"
REFUSED_RESERVATION = "reservation"
REFUSED_REVOKED = "revoked"
REFUSED_SERVICE = "service"
REFUSED_NOT_READY = "not_ready"
