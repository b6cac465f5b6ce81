"""Constants of planning and switching expert maps."""

# The agent reads its engine this often while nothing goes on, seconds. The
# read is free on the engine's own VM.
READ_SECONDS = 0.3
# And this often while a switch is under way: each step of it waits for a read.
BUSY_READ_SECONDS = 0.05
# An agent is asked for the same again after this long: it may have started
# anew. Asked at each look, 192 agents got 640 frames a second. Seconds.
RATE_REQUEST_RESEND_SECONDS = 1.0
# Agents in the leader's data centre, whose beats cost nothing between data
# centres, tell their counts this often, so that a jump in demand is seen
# within two or three reads, seconds.
NEAR_READ_SECONDS = 0.1
# An agent whose counts are not wanted beats this often if nothing changes.
QUIET_BEAT_SECONDS = 0.6
# A change of pace of this much is told at once.
MIN_PACE_CHANGE = 0.1
# The time of a pass is measured over at least this long, seconds.
PACE_WINDOW_SECONDS = 0.25
# A beat older than this does not count, seconds.
HEARTBEAT_MAX_AGE_SECONDS = 1.6
# Time constant of the demand average between two jumps, seconds: the length
# of a stream, since most of the counts are prompt tokens, which tell what the
# streams that have just begun will choose.
DEMAND_TIME_CONSTANT_SECONDS = 1.2
# Counts of this last time are compared with those before them, seconds: two
# reads of the agents that tell most often.
RECENT_COUNTS_SECONDS = 0.2
# Counts that began this long before a jump was seen may hold older choices.
JUMP_MARGIN_SECONDS = 0.05
# No plan is made for so long after that, seconds: until each agent that tells
# most often has counted once. Two prompts alone would look like the demand.
JUMP_SETTLE_SECONDS = 0.15
# Choices that must have been counted before a plan is made.
MIN_DEMAND_CHOICES = 20_000.0
# A distance (half the sum of differences of shares) below this is no jump: one
# of 0.1 is what a few prompts more or less of one topic make.
MIN_JUMP_DISTANCE = 0.18
# And it must be this many usual deviations above the usual distance.
JUMP_DEVIATIONS = 4.0
# After a jump the counts are too few for another comparison for this long,
# seconds.
JUMP_COOLDOWN_SECONDS = 0.6
# How far one reading moves the usual distance and its deviation.
NOISE_SMOOTHING = 0.05
# The usual distance before any has been measured, and its deviation.
INITIAL_NOISE = (0.1, 0.03)
# Demand is expected to last this long before a jump has been seen, and no
# longer than this in any case, seconds.
MAX_DEMAND_DURATION_SECONDS = 10.0
# Gaps between jumps, of which the expected one is the mean.
MAX_JUMP_GAPS = 5
# A group at rest is looked at as a whole no more often than this: agents that
# tell their counts ten times a second each bring one forward. Seconds.
MIN_CHECK_INTERVAL_SECONDS = 0.01
# Least time between two plans of a group, seconds.
PLAN_INTERVAL_SECONDS = 0.2
# A switch takes this long besides its copies until it has been measured,
# seconds.
INITIAL_SWITCH_SECONDS = 0.4
# A switch must lower the peak by this share: below, it is within what few
# prompts more or less of one topic make.
MIN_GAIN = 0.1
# What a second of copying costs, in seconds of a peak of 1: passes take 0.15
# longer meanwhile, a pass is some four times its expert part at peak 1, and a
# jump that comes meanwhile finds the ranks busy.
COPY_COST = 1.0
# A plan is good enough at this load of the slowest rank over the mean: what
# further copies would bring is below what they cost.
SUFFICIENT_PEAK = 1.2
# Entries are told again which targets are slow after this long, seconds; they
# believe it for four times as long.
SLOW_TARGETS_RESEND_SECONDS = 0.5
# Targets from this pace on are named to the entries as slow.
SLOW_PACE = 1.15
# A copy goes to one of this many of the least loaded ranks; more make a plan
# of 72 ranks much longer and no better.
CANDIDATE_RANKS = 9
# And is one of this many of the slowest rank's most chosen experts.
CANDIDATE_EXPERTS = 6
# Moves that are planned at a time, some 20 ms of work on a control VM at most
# (0.2 to 1.2 ms a move), while heartbeats of the log are 150 ms apart.
MOVES_PER_PLAN_CALL = 16
# Between two such parts the VM does what else has come, seconds.
PLAN_PAUSE_SECONDS = 0.002
# Ranks of a group whose counts are read; requests are spread over the ranks,
# so that these tell the demand of all. Counts are most of a beat's bytes.
COUNTED_RANKS = 16

# Time in which all ranks must have copied their new experts, seconds: eight
# experts of 880 MB take some 0.3 s at the platform's usual link.
PREPARE_TIMEOUT_SECONDS = 6.0
# The held pass lies ahead of the newest one by what the orders of the last
# switches took, times this, so that nothing waits for them.
HOLD_AHEAD_FACTOR = 2.0
# And by no less and no more than this, seconds; the first is what the orders
# of a switch take on a sound network (25 ms, 34 ms at most in 18 switches).
HOLD_AHEAD_RANGE_SECONDS = (0.035, 1.2)
# A hold that came after its pass is given again so many times.
MAX_HOLD_ATTEMPTS = 3
# Part of a pass after which the next one is taken to have begun.
PASS_BEGUN_SHARE = 0.3
# Until orders have been timed they are expected to take this long, seconds.
INITIAL_ORDERING_SECONDS = 0.05
# And after a switch that was called off, when orders get lost.
HOLD_AHEAD_CAREFUL_SECONDS = 1.2
# Switches that must go well before the shorter time is used again.
CAREFUL_SWITCHES = 4
# Besides, in passes: one that is begun while the hold is on its way.
HOLD_AHEAD_PASSES = 1
# A state that follows from an order's answer is not replaced by a beat for
# this long: the beat may have been read before the order. Seconds.
ORDER_STATE_SECONDS = 0.2
# Arming that takes longer is called off, seconds.
ARM_TIMEOUT_SECONDS = 1.0
# After a switch that failed the group is left alone for this long, seconds.
FAILED_SWITCH_BACKOFF_SECONDS = 1.5
# An agent that has not carried out an order after this long is passed by:
# the leader gives the order itself, which is priced. Seconds.
DIRECT_ORDER_DELAY_SECONDS = 0.3
# After that it is tried again this often, seconds.
ORDER_RESEND_SECONDS = 1.0

# Orders from this size on are passed on by a control VM of each data centre, if
# as many agents are there; smaller ones must not take the longer way. Bytes.
MIN_RELAY_BYTES = 2000
MIN_RELAY_AGENTS = 4
# A control VM that was not heard for longer passes nothing on: it beats four
# times a second. Seconds.
RELAY_FRESH_SECONDS = 0.6
# 1 is the fastest; a placement of 192 ranks drawn at random shrinks
# to two thirds (13.5 to 9.0 KB).
RELAY_COMPRESS_LEVEL = 1

# An engine on the same VM answers within milliseconds; later means lost.
ORDER_TIMEOUT_SECONDS = 0.08
# Tries of one order before its failure is reported.
MAX_ORDER_ATTEMPTS = 6
