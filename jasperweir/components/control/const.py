"""Constants of the control component."""

HEARTBEAT_SECONDS = 5.0
# Beats a second that the leader asks for in all; with more nodes each beats
# less often, so that the leader stays within its bytes.
HEARTBEATS_PER_SECOND = 20.0
HEARTBEATS_UNTIL_STALE = 3
# A roll waits this long for a place's nodes before it goes on without those
# that do not answer; they catch up when they can be heard again.
# Four places with such a node in each are still reached within 12 s.
GATE_TIMEOUT_SECONDS = 3.0
SOAK_SECONDS = 0.5
# A burn rate of 10 spends a month's error budget in three days.
HALT_BURN_RATE = 10.0
VIEW_DEBOUNCE_SECONDS = 1.0
VIEW_REPAIR_TIMEOUT_SECONDS = 5.0
COMPACT_ENTRIES = 1000
REQUEST_TIMEOUT_SECONDS = 5.0
# Fine enough for heartbeats and election timeouts of the log.
TICK_SECONDS = 0.05
CONTROL_OPERATOR = "control"
