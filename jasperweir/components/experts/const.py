"""Constants of the experts component."""

# Popularity.
MIN_AVERAGE_GAIN = 0.2
# Total variation between an interval and the average that counts as a jump,
# if it is also well above what sampling alone would give.
MIN_JUMP_DISTANCE = 0.08
JUMP_NOISE_FACTOR = 4.0
# Expected total variation of sampled shares is this times the root of
# experts over tokens.
SAMPLING_NOISE = 0.4

# Placement.
SPLIT_ROUNDS = 16
EVEN_SPLIT_SHARE = 0.1
CANDIDATE_RANKS = 4
MAX_LOOK_AHEAD_MOVES = 10
MAX_MOVES_PER_LAYER = 24
# Gain in skew that one move must bring when only the cost of moves counts,
# and when only skew does; below the latter, moves chase noise.
MAX_GAIN_PER_MOVE = 0.01
MIN_GAIN_PER_MOVE = 0.001
# A map whose only change is the split of load is worth a switch from here.
MIN_SPLIT_GAIN = 0.02

# Grants.
WINDOW_STEPS = 32
# Steps are numbered from the term on, so that no step number and no map
# version is ever used by two coordinators.
STEP_BITS = 40
VERSION_BITS = 20
GRANT_REFRESH_SECONDS = 1.0
RESEND_SECONDS = 0.2
PREPARE_TIMEOUT_SECONDS = 30.0
HOST_LOST_SECONDS = 5.0
PLAN_INTERVAL_SECONDS = 1.0

# Stragglers.
STRAGGLER_FACTOR = 1.25
MIN_STRAGGLER_SAMPLES = 10
SPEED_SMOOTHING = 0.1
MIN_SPEED = 0.25
