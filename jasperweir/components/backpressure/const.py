"""Constants of backpressure."""

# Longest back-off of a target, seconds; a longer one is cut, since it may be a
# mistake.
BACKOFF_MAX_SECONDS = 300.0
# A target that refuses without asking for a back-off is avoided for this long,
# seconds; twice as long after each further refusal, and only while others
# accept.
AVOID_SECONDS = 0.25
AVOID_MAX_SECONDS = 8.0
# After a back-off a target gets a single request; others follow once that one
# has been accepted or has not been refused for this long, seconds.
TRIAL_SECONDS = 0.25
# The state of a back-off is dropped this long after its end, seconds.
STATE_TTL_SECONDS = 10.0
# Values that are read of one header of an answer.
VALUES_MAX = 4
# Targets whose state is kept; the oldest is dropped first.
TARGETS_MAX = 4096
# Bytes that are logged of an unreadable value.
LOGGED_VALUE_BYTES = 32
# A refusal that another entry reports is used for this long, seconds.
PEER_REFUSAL_TTL_SECONDS = 1.0
# Targets that are read of a message of another entry.
PEER_REFUSALS_MAX = 1024

# Lowest rate limit, requests per second; a lower one is raised to it, since a
# change of the limit arrives only with an answer.
LIMIT_MIN_PER_S = 0.25
# Burst that a target accepts beyond its limit: the requests of this many
# seconds, and LIMIT_SPARE more.
LIMIT_BURST_SECONDS = 2.0
LIMIT_BURST = 4.0
# Requests that each owner of a limit may send at once after a pause, at least.
# Where there are few owners they share the requests of LIMIT_BURST_SECONDS: an
# owner that stalls for some hundred ms would lose its unused part otherwise.
# LIMIT_BURST is left for probes and for entries that have just started.
OWNER_BURST = 1.5
# An entry that is not seen any more keeps its share of limits for this long,
# seconds.
ENTRY_TTL_SECONDS = 60.0
# Share of a limit that is used by probes of entries without a share in it.
PROBE_SHARE = 0.1
# Shortest interval between the probes of such an entry, seconds.
PROBE_MIN_SECONDS = 10.0
