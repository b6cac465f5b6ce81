"""Constants of limits."""

QUEUE_LIMIT_FACTOR = 1.0
MIN_QUEUE_LIMIT = 8
MIN_CUSTOMER_QUEUE_LIMIT = 4
DEFAULT_SERVICE_SECONDS = 2.0
SERVICE_TIME_SMOOTHING = 0.1
# Factor on an entry's equal share of all target slots, since callers are not
# spread evenly over entries.
SHARE_SLACK = 1.25
MIN_SHARE = 2
# Multiplicative decrease and additive recovery of an entry's limit. A target
# without a free slot shows that all entries together admit too much.
CONGESTION_FACTOR = 0.97
MIN_CONGESTION_FACTOR = 0.72
CONGESTION_INTERVAL_SECONDS = 0.2
RECOVERY_PER_SECOND = 0.04
NEUTRAL_PRIORITY = 5

RETRY_RATIO = 0.1
RETRY_BURST = 10.0
# Time in which the retry budget of an entry that has started fills, seconds.
RETRY_FILL_SECONDS = 10.0
BACKOFF_FIRST_SECONDS = 0.02
BACKOFF_MAX_SECONDS = 0.5
RETRY_AFTER_MIN_SECONDS = 0.5
RETRY_AFTER_MAX_SECONDS = 30.0
