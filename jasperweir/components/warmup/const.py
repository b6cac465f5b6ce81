"""Constants of cold targets."""

# Longest remaining cold time that a target may state, seconds. A longer one
# counts as not stated, since it would limit the target until it restarts.
COLD_MAX_SECONDS = 600.0
# Ages in lists of targets are rounded to 0.1 s; a heartbeat counts as made
# after an event only if it is later by more than this, seconds.
AGE_TOLERANCE_SECONDS = 0.1
# Longest time for which the cold targets of a service are cached, seconds.
CACHE_SECONDS = 0.1
# Expected wait for a target that is cold until its next heartbeat, seconds;
# targets send one every 1.2 s.
HEARTBEAT_WAIT_SECONDS = 1.2
# Data centres whose last evacuation is remembered; the oldest is dropped first.
PLACES_MAX = 64
# Targets whose answers and rates are remembered; the oldest is dropped first.
TARGETS_MAX = 4096

# Window of the bound on requests to a cold target, seconds.
WINDOW_SECONDS = 1.0
# Requests of a longer time may arrive within a window, seconds: they are
# counted when their target is chosen. A connection that takes longer to open,
# up to 0.6 s, is not covered.
JITTER_SECONDS = 0.25
# Smallest burst of an owner of a rate. With 1 an owner would lose what it
# leaves unused for less than a request's interval.
OWNER_BURST = 1.5
# An entry uses its share only if the leader has listed it for this long,
# seconds. By then all entries that the leader counts know of it: an update
# that was lost is repeated after a heartbeat (0.5 s), the delivery time of an
# update (0.5 s) and the interval of full lists (0.5 s), each up to twice.
SETTLE_SECONDS = 4.0
# A list of entries is used for this long, seconds: two and a half intervals of
# its update. Older ones mean that the process was suspended or cut off.
VIEW_VALID_SECONDS = 1.25
# An entry that is no longer listed counts as present for this long, seconds.
# It is longer than an entry that was dropped may go on to use its share.
ENTRY_TTL_SECONDS = 10.0
# Messages of an entry are noted at this interval, seconds; far below the time
# for which its name is kept.
HEARD_SECONDS = 0.5
