"""Constants of the list of groups."""

# Bounds of a list; what exceeds them is dropped by sender and receiver.
GROUPS_MAX = 64
RANKS_MAX = 256
# Time for which a new leader collects heartbeats before its first list,
# seconds: each agent sends one at least once within it, and a shorter list
# would make targets unlisted for a moment.
COLLECT_SECONDS = 1.5
# Interval of the leader's check whether a list is due, seconds.
CHECK_SECONDS = 0.1
# Name of the unit of the targets that no group lists, in a service that has
# several groups.
UNLISTED = ""
# Interval at which all entries get an unchanged list again, seconds. A lost
# message would leave an entry with a group that it takes for closed.
RESEND_SECONDS = 2.0
