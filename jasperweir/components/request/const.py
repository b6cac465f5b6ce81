"""Constants of the life of a request."""

MAX_TRIES = 3
MAX_RESUMES = 3
# A run whose claim was just granted may not have reached its agent yet.
HELD_PAUSES_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.4)
RESUME_PAUSE_SECONDS = 0.05
# The least time in which any answer is possible.
NEEDS_SECONDS = 0.02
CLAIM_SECONDS = 1.5
RETRY_SOON_SECONDS = 1.0
RETRY_CLAIMS_SECONDS = 5.0
