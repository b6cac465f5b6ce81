"""Constants of planning and switching expert maps."""

# The agent reads its engine this often while nothing goes on, seconds. The
# read is free on the engine's own VM.
READ_SECONDS = 0.3
# And this often while a switch is under way.
BUSY_READ_SECONDS = 0.1
# An agent whose counts are not wanted beats this often if nothing changes.
QUIET_BEAT_SECONDS = 0.6
# A change of pace of this much is told at once.
PACE_STEP = 0.1
# A beat older than this does not count, seconds.
FRESH_SECONDS = 1.6
# Time constant of the demand average, seconds: the length of a stream, since
# most of the counts are prompt tokens, which tell what the streams that have
# just begun will choose.
DEMAND_SECONDS = 1.2
# Tokens that must have been counted before a plan is made.
DEMAND_LEAST = 20_000.0
# Least time between two plans of a group, seconds.
PLAN_SECONDS = 0.4
# A switch must shorten the expert part of a pass by this share: below, the
# copies cost more than they bring.
LEAST_GAIN = 0.06
# A plan is good enough at this load of the slowest rank over the mean: what
# further copies would bring is below what they cost.
GOOD_PEAK = 1.2
# Targets from this pace on are named to the entries as slow.
SLOW_PACE = 1.15
# Moves that one plan may make in a set, for each rank.
MOVES_PER_RANK = 2
# A copy goes to one of this many of the least loaded ranks; more make a plan
# of 72 ranks four times as long and no better (docs/MEASUREMENTS.md).
CANDIDATE_RANKS = 9
# Ranks times experts that are planned at a time: two sets of 72 ranks and 144
# experts, some 30 ms of work on a control VM, while heartbeats of the log are
# 150 ms apart.
CELLS_PER_TICK = 21_000
# Ranks of a group whose counts are read; requests are spread over the ranks,
# so that these tell the demand of all. Counts are most of a beat's bytes.
COUNTED_RANKS = 16

# Time in which all ranks must have copied their new experts, seconds: eight
# experts of 880 MB take some 0.3 s at the platform's usual link.
PREPARE_SECONDS = 6.0
# The held pass lies this long ahead of the newest known one, seconds: the
# orders of a switch take some 50 ms, so that nothing waits for it.
HOLD_AHEAD_SECONDS = 0.45
# And this long after a switch that was called off, when orders get lost.
HOLD_AHEAD_CAREFUL_SECONDS = 1.2
# Switches that must go well before the shorter time is used again.
CAREFUL_SWITCHES = 4
# Besides, in passes, since what is known of them is a read old.
HOLD_AHEAD_PASSES = 3
# A state that follows from an order's answer is not replaced by a beat for
# this long: the beat may have been read before the order. Seconds.
STATE_HOLDS_SECONDS = 0.2
# Arming that takes longer is called off, seconds.
ARM_SECONDS = 1.0
# After a switch that failed the group is left alone for this long, seconds.
REST_SECONDS = 1.5
# An agent that has not carried out an order after this long is passed by:
# the leader gives the order itself, which is priced. Seconds.
DIRECT_SECONDS = 0.3
# After that it is tried again this often, seconds.
RESEND_SECONDS = 1.0

# An engine on the same VM answers within milliseconds; later means lost.
ORDER_SECONDS = 0.08
# Tries of one order before its failure is reported.
ORDER_TRIES = 6
