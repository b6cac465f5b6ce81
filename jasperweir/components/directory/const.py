"""Constants of the directory."""

KIND_ENTRY = "entry"
KIND_AGENT = "agent"

# Targets without heartbeats are removed after this time, seconds. It spans many
# heartbeats of 1.2 s, so that an outage of all control VMs removes no target.
FORGET_SECONDS = 30.0
# Interval of the check for targets without heartbeats, seconds.
FORGET_CHECK_SECONDS = 0.5
# Of two targets at one address, the one whose last heartbeat is this much older
# has been replaced, seconds. Three heartbeats of 1.2 s.
SUCCESSOR_SECONDS = 3.6
# A removed target is remembered for this time, seconds, so that a delayed
# heartbeat does not add it again.
TOMBSTONE_SECONDS = 120.0
# Interval of node heartbeats, and the time without them after which a node is
# removed from the addresses for callers, seconds.
NODE_HEARTBEAT_SECONDS = 0.25
NODE_SILENT_SECONDS = 0.9
# The same for agents, which send a heartbeat once a second, seconds.
AGENT_SILENT_SECONDS = 3.0
# Nodes without heartbeats are removed after this time, seconds.
NODE_FORGET_SECONDS = 10.0
