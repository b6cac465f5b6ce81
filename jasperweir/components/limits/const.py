"""Constants of limits."""

QUEUE_FACTOR = 1.0
QUEUE_MIN = 8
CUSTOMER_QUEUE_MIN = 4
DEFAULT_SERVICE_SECONDS = 2.0
SERVICE_TIME_SMOOTHING = 0.1
# An entry may use somewhat more than its even share of all target slots,
# since callers never spread themselves quite evenly.
SHARE_SLACK = 1.25
MIN_SHARE = 2
# A target that refuses for lack of slots shows that the entries together
# let in too much: each then lets in less, and slowly more again.
CONGESTION_FACTOR = 0.97
CONGESTION_FLOOR = 0.72
CONGESTION_EVERY_SECONDS = 0.2
RECOVERY_PER_SECOND = 0.04
NEUTRAL_PRIORITY = 5

RETRY_RATIO = 0.1
RETRY_BURST = 10.0
BACKOFF_FIRST_SECONDS = 0.02
BACKOFF_MAX_SECONDS = 0.5
RETRY_AFTER_MIN_SECONDS = 0.5
RETRY_AFTER_MAX_SECONDS = 30.0
