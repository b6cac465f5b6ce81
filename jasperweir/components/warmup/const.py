"""Constants of cold targets."""

# Longest remaining cold time that a target may state, seconds. A longer one
# counts as not stated, since it would limit the target until it restarts.
COLD_MAX_SECONDS = 600.0
# Ages in lists of targets are rounded to 0.1 s; a heartbeat counts as made
# after an event only if it is later by more than this, seconds.
AGE_TOLERANCE_SECONDS = 0.1
# Longest time for which the cold targets of a service are cached, seconds.
CACHE_SECONDS = 0.1
# Data centres whose last evacuation is remembered; the oldest is dropped first.
PLACES_MAX = 64
# Targets whose answers and rates are remembered; the oldest is dropped first.
TARGETS_MAX = 4096
