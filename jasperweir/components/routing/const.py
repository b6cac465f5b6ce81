"""Constants of routing."""

# A node keeps state for this many targets of a service, not for all.
SUBSET = 24
CHOICES = 3
REPORT_TRUST_SECONDS = 1.5

OTHER_PLACE_COST = 0.10
OTHER_REGION_COST = 0.50
SUSPECT_COST = 2.0
SWITCHING_COST = 0.05
SKEW_COST = 0.5
LATENCY_COST = 0.25
AFFINITY_GAIN = 0.30
# A target is not preferred for its cache above this much of the mean load.
AFFINITY_LOAD_BOUND = 1.25
AFFINITY_HOMES = 2
PREFIX_BYTES = 256
PREFIX_HINTS_MAX = 4096

EJECT_FAILURES = 3
EJECT_SECONDS = 5.0
EJECT_MAX_SECONDS = 60.0
# At most this share of a service's targets is ejected at once.
EJECT_SHARE = 0.34
STRAGGLER_FACTOR = 3.0
STRAGGLER_SAMPLES = 8
LATENCY_SMOOTHING = 0.2
SLOW_START_SECONDS = 10.0
SLOW_START_FLOOR = 0.2
