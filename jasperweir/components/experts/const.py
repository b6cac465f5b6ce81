"""Constants of the experts component."""

# Popularity.
SLOW_SMOOTHING = 0.1
FAST_SMOOTHING = 0.5
# Total variation between the fast and the slow average that counts as a jump.
JUMP_DISTANCE = 0.18

# Placement.
SPLIT_ROUNDS = 12
LIGHTEST_RANKS = 4
MOVES_PER_LAYER = 24
# Price of one move, in skew summed over the horizon, at equal weights.
MOVE_PRICE = 0.02
# A map whose only change is the split of load is worth a switch from here.
SPLIT_GAIN = 0.02

# Grants.
WINDOW_STEPS = 32
# Steps are numbered from the term on, so that no step number and no map
# version is ever used by two coordinators.
STEP_BITS = 40
VERSION_BITS = 20
REFRESH_SECONDS = 1.0
RESEND_SECONDS = 0.2
PREPARE_SECONDS = 30.0
HOST_LOST_SECONDS = 5.0
PLAN_SECONDS = 1.0

# Stragglers.
STRAGGLER_FACTOR = 1.25
STRAGGLER_SAMPLES = 10
SPEED_SMOOTHING = 0.1
SPEED_FLOOR = 0.25
