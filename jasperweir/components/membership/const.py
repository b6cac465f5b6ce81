"""Constants of membership."""

KIND_CONTROL = "control"
KIND_ENTRY = "entry"
KIND_AGENT = "agent"

# Entries and agents are each watched by this many entries.
WATCHERS = 3
HEARTBEAT_SECONDS = 1.0
SUSPECT_SECONDS = 3.0
DEAD_SECONDS = 5.0
# A watcher that has just become one waits before it suspects.
WATCH_GRACE_SECONDS = 6.0
DEAD_KEPT_SECONDS = 600.0

GOSSIP_SECONDS = 1.0
RUMOR_FANOUT = 3
# Share of gossip sent to nodes believed dead, so that halves find back.
DEAD_GOSSIP_SHARE = 0.1
BUCKETS = 64
RECORDS_PER_FRAME = 400
RUMOR_RECORDS_PER_FRAME = 64
