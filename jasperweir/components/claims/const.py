"""Constants of claims."""

PARTITIONS = 256
OWNERS = 3
DEFAULT_WINDOW_SECONDS = 600.0
RESEND_SECONDS = 0.25
SYNC_RESEND_SECONDS = 0.5
# After this long, owners that have not answered count as lost.
SYNC_PATIENCE_SECONDS = 5.0
SYNC_RECORDS_PER_FRAME = 2000
# Larger answers stay with the agent that ran the request.
ANSWER_MAX_BYTES = 16 * 1024
# An owner that no leader has confirmed for this long grants nothing more.
AUTHORITY_SECONDS = 180.0
RECORDS_MAX = 200_000

STATE_CLAIMED = "claimed"
STATE_FINISHED = "finished"

GRANTED = "granted"
HELD = "held"
REUSED = "reused"
RETRY = "retry"
BLIND = "blind"
FULL = "full"
