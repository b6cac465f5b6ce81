"""Constants of the experts component."""

# Popularity.
# Lowest weight of a new interval in the average popularity.
MIN_AVERAGE_GAIN = 0.2
# Total variation between an interval and the average from which it is a jump,
# if it also exceeds the sampling noise by the factor below.
MIN_JUMP_DISTANCE = 0.08
JUMP_NOISE_FACTOR = 4.0
# Expected total variation of sampled shares, divided by the square root of
# experts over tokens.
SAMPLING_NOISE = 0.4

# Placement.
# Rounds of load balancing between existing copies.
SPLIT_ROUNDS = 16
# Share of an even split that is mixed into the initial split.
EVEN_SPLIT_SHARE = 0.1
# Number of least loaded ranks that are considered for a move.
CANDIDATE_RANKS = 4
# Moves without sufficient gain that are tried in a row.
MAX_LOOK_AHEAD_MOVES = 10
MAX_MOVES_PER_LAYER = 24
# Gain in skew that one move must bring if only the cost of moves counts, and
# if only skew counts; smaller gains are noise.
MAX_GAIN_PER_MOVE = 0.01
MIN_GAIN_PER_MOVE = 0.001
# Gain in skew from which a map is switched only to change the split.
MIN_SPLIT_GAIN = 0.02

# Grants.
# Steps of a window.
WINDOW_STEPS = 32
# Bits of a step number below the term, and of a map version, so that numbers
# of two coordinators differ.
STEP_BITS = 40
VERSION_BITS = 20
# Silence of a host after which its grant is sent again.
GRANT_REFRESH_SECONDS = 1.0
# Interval at which unanswered messages are sent again.
RESEND_SECONDS = 0.2
# Timeout for all hosts to load a map.
PREPARE_TIMEOUT_SECONDS = 30.0
# Silence after which a host is considered lost.
HOST_LOST_SECONDS = 5.0
PLAN_INTERVAL_SECONDS = 1.0

# Stragglers.
# Slowdown from which a rank is a straggler, after this many samples.
STRAGGLER_FACTOR = 1.25
MIN_STRAGGLER_SAMPLES = 10
# Smoothing factor of the speeds, and their lower bound.
SPEED_SMOOTHING = 0.1
MIN_SPEED = 0.25
