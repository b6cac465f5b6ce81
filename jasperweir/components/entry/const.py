"""Constants of the entry."""

# Other entries may list a draining entry for this long after its leave.
EXTRA_DRAIN_SECONDS = 3.0
# Interval at which the burn rate is computed, since it covers all customers.
BURN_RATE_INTERVAL_SECONDS = 2.0
METRICS_INTERVAL_SECONDS = 1.0
