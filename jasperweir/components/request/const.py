"""Constants of the state machine of a request."""

MAX_TRIES = 3
MAX_RESUMES = 3
# Pauses before looking again for the run of another request with the key; a
# run whose claim was just granted may not have reached its agent yet.
HELD_RETRY_PAUSES_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.4)
RESUME_PAUSE_SECONDS = 0.05
# Minimum time needed for any answer.
MIN_SERVICE_SECONDS = 0.02
CLAIM_TIMEOUT_SECONDS = 1.5
TARGETS_RETRY_AFTER_SECONDS = 1.0
CLAIMS_RETRY_AFTER_SECONDS = 5.0
