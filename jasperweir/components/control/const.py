"""Constants of the control component."""

HEARTBEAT_SECONDS = 5.0
# Maximum rate of heartbeats at the leader. With more nodes, each sends them
# less often.
HEARTBEATS_PER_SECOND = 20.0
HEARTBEATS_UNTIL_STALE = 3
# A roll waits this long for the nodes of a place and then continues without
# those that have not reported the new revision. Nodes catch up later.
GATE_TIMEOUT_SECONDS = 3.0
SOAK_SECONDS = 0.5
# Burn rate at which a roll halts; 10 uses a month's budget in three days.
HALT_BURN_RATE = 10.0
VIEW_DEBOUNCE_SECONDS = 1.0
VIEW_REPAIR_TIMEOUT_SECONDS = 5.0
COMPACT_ENTRIES = 1000
REQUEST_TIMEOUT_SECONDS = 5.0
# Resolution of the timers, fine enough for log heartbeats and elections.
TICK_SECONDS = 0.05
CONTROL_OPERATOR = "control"
