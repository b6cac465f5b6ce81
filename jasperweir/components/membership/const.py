"""Constants of membership."""

KIND_CONTROL = "control"
KIND_ENTRY = "entry"
KIND_AGENT = "agent"

# Number of entries that monitor each entry and each agent.
WATCHERS_PER_NODE = 3
HEARTBEAT_INTERVAL_SECONDS = 1.0
SUSPECT_TIMEOUT_SECONDS = 3.0
DEAD_TIMEOUT_SECONDS = 5.0
# Silence after which a newly assigned watcher suspects a node.
WATCH_GRACE_SECONDS = 6.0
DEAD_RETENTION_SECONDS = 600.0

GOSSIP_INTERVAL_SECONDS = 1.0
RUMOR_FANOUT = 3
# Share of gossip sent to dead nodes, so that a healed partition is found.
DEAD_GOSSIP_SHARE = 0.1
BUCKETS = 64
RECORDS_PER_FRAME = 400
RUMOR_RECORDS_PER_FRAME = 64
