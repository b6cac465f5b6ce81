"""Constants of claims."""

PARTITIONS = 256
OWNERS_PER_PARTITION = 3
DEFAULT_WINDOW_SECONDS = 600.0
RESEND_SECONDS = 0.25
SYNC_RESEND_SECONDS = 0.5
# Owners that have not answered for this long count as lost.
SYNC_TIMEOUT_SECONDS = 5.0
SYNC_RECORDS_PER_FRAME = 2000
# Larger answers are kept only by the agent that ran the request.
MAX_ANSWER_BYTES = 16 * 1024
# An owner grants nothing after this long without a leader's confirmation.
AUTHORITY_TIMEOUT_SECONDS = 180.0
MAX_RECORDS = 200_000

STATE_CLAIMED = "claimed"
STATE_FINISHED = "finished"

# Verdicts on a claim.
GRANTED = "granted"
# Another request holds the key.
HELD = "held"
# The key was claimed for a request with another body.
REUSED = "reused"
# The receiver cannot decide during a view change.
RETRY = "retry"
# An earlier claim of the key may have been lost with its owners.
BLIND = "blind"
# The owner holds as many records as it may.
FULL = "full"
