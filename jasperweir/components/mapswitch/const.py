"""Constants of planning and switching expert maps."""

# Interval at which an agent reads its engine while no switch runs, seconds.
# The read stays on the engine's own VM.
READ_SECONDS = 0.3
# Read interval during a switch, seconds: each step of it waits for a read.
BUSY_READ_SECONDS = 0.05
# Interval at which an unchanged rate request is repeated, since the agent may
# have restarted, seconds. Bounds the leader's frames in a large group: asked at
# each check, 192 agents received 640 frames a second.
RATE_REQUEST_RESEND_SECONDS = 1.0
# Heartbeat interval of agents in the leader's data centre that send counts,
# seconds. They send more often because they use no link between data centres.
NEAR_READ_SECONDS = 0.1
# Heartbeat interval of an agent that sends no counts, if nothing changes.
QUIET_REPORT_SECONDS = 0.6
# A change of slowdown by at least this much is reported at once.
MIN_SLOWDOWN_CHANGE = 0.1
# Shortest window over which the time of a pass is measured, seconds.
PASS_TIME_WINDOW_SECONDS = 0.25
# Age from which a heartbeat is ignored, seconds.
HEARTBEAT_MAX_AGE_SECONDS = 1.6
# Time constant of the moving average of demand, seconds: the length of a
# stream, since most counts come from the prompt tokens of new streams.
DEMAND_TIME_CONSTANT_SECONDS = 1.2
# Window of recent counts that is compared with the older average, seconds:
# two heartbeats of the agents that send most often.
RECENT_COUNTS_SECONDS = 0.2
# Counts whose interval began earlier than this before a jump was detected are
# dropped, since they may include older choices.
JUMP_MARGIN_SECONDS = 0.05
# Time after a jump in which no plan is made, seconds: each of the agents that
# send most often must have sent once, or few prompts would pass for demand.
JUMP_SETTLE_SECONDS = 0.15
# Choices that must have been counted before a plan is made.
MIN_DEMAND_CHOICES = 20_000.0
# Distance (half the sum of differences of shares) below which a change is no
# jump; a few prompts of one topic make a distance of 0.1.
MIN_JUMP_DISTANCE = 0.18
# Deviations by which a jump must exceed the usual distance.
JUMP_DEVIATIONS = 4.0
# Time after a jump without another comparison, seconds: counts are too few.
JUMP_COOLDOWN_SECONDS = 0.6
# Smoothing factor of the usual distance and its deviation.
NOISE_SMOOTHING = 0.05
# Initial usual distance and its deviation.
INITIAL_NOISE = (0.1, 0.03)
# Upper bound of the expected duration of a demand, and its value before the
# first jump, seconds.
MAX_DEMAND_DURATION_SECONDS = 10.0
# Number of recent gaps between jumps whose mean is the expected duration.
MAX_JUMP_GAPS = 5
# Shortest interval between two checks of all ranks of an idle group, seconds:
# every heartbeat could trigger one.
MIN_CHECK_INTERVAL_SECONDS = 0.01
# Shortest interval between two plans of a group, seconds.
PLAN_INTERVAL_SECONDS = 0.2
# Expected time of a switch besides its copies, until one has been measured,
# seconds.
INITIAL_SWITCH_SECONDS = 0.4
# Share by which a switch must lower the peak; smaller gains are noise that a
# few prompts of one topic make.
MIN_GAIN = 0.1
# Cost of a second of copying, in seconds of a peak of 1: passes take 0.15
# longer meanwhile, a pass takes about four times its expert part at a peak of
# 1, and a jump that follows finds the ranks busy.
COPY_COST = 1.0
# Peak load over mean load at which a search ends; further copies would cost
# more than they bring.
SUFFICIENT_PEAK = 1.2
# Interval at which the list of slow targets is sent again to the entries,
# seconds; they keep it for four times as long.
SLOW_TARGETS_RESEND_SECONDS = 0.5
# Slowdown from which a target is reported to the entries as slow.
SLOW_TARGET_SLOWDOWN = 1.15
# Number of least loaded ranks that are considered for a further copy; bounds
# the time of a plan.
CANDIDATE_RANKS = 9
# Number of the slowest rank's most selected experts that are considered.
CANDIDATE_EXPERTS = 6
# Moves planned in one call: must take well below the 150 ms between the
# heartbeats of the log, at 0.2 to 1.2 ms a move on a control VM.
MOVES_PER_PLAN_CALL = 16
# Pause between two such calls, in which the VM handles other events, seconds.
PLAN_PAUSE_SECONDS = 0.002
# Ranks of a group that report counts. Requests are spread over all ranks, so
# these represent the group; counts are most of a heartbeat's bytes.
COUNTED_RANKS = 16

# Timeout for all ranks to copy their new experts, seconds. Eight experts of
# 880 MB take some 0.3 s over a link of 180 Gbit/s.
PREPARE_TIMEOUT_SECONDS = 6.0
# The held pass lies ahead of the newest one by the time of the orders in the
# last switches, times this factor, so that no pass has to wait.
HOLD_AHEAD_FACTOR = 2.0
# Lower and upper bound of that time, seconds. The orders of a switch take about
# 25 ms on a sound network, 34 ms at most in 18 switches.
HOLD_AHEAD_RANGE_SECONDS = (0.035, 1.2)
# Attempts to hold a pass in one switch, if holds arrive after their pass.
MAX_HOLD_ATTEMPTS = 3
# Part of a pass after which the next one is assumed to have begun.
PASS_BEGUN_SHARE = 0.3
# Expected time of the orders until they have been measured, seconds.
INITIAL_ORDERING_SECONDS = 0.05
# The same after a switch that was called off, since orders may get lost.
HOLD_AHEAD_CAREFUL_SECONDS = 1.2
# Successful switches after which the shorter time is used again.
CAREFUL_SWITCHES = 4
# Passes added to the time ahead: one may begin while the hold is sent.
HOLD_AHEAD_PASSES = 1
# Time for which a heartbeat does not replace a state derived from an order's
# result, seconds: the heartbeat may have been read before the order.
ORDER_STATE_SECONDS = 0.2
# Timeout for all ranks to be armed, seconds; then the switch is called off.
ARM_TIMEOUT_SECONDS = 1.0
# Time without a new plan after a switch that failed, seconds.
FAILED_SWITCH_BACKOFF_SECONDS = 1.5
# Time after which the leader sends an unanswered order to the engine itself,
# seconds; such an order is charged.
DIRECT_ORDER_DELAY_SECONDS = 0.3
# Interval at which it is repeated from then on, seconds.
ORDER_RESEND_SECONDS = 1.0

# Orders of at least this size are relayed by a control VM of each data centre
# with at least that many agents; smaller ones take the shorter path. Bytes.
MIN_RELAY_BYTES = 2000
MIN_RELAY_AGENTS = 4
# Silence after which a control VM relays no orders, seconds; it sends four
# heartbeats a second.
RELAY_FRESH_SECONDS = 0.6
# zlib level of relayed orders; 1 is the fastest. A random placement of 192
# ranks shrinks to two thirds, from 13.5 to 9.0 KB.
RELAY_COMPRESS_LEVEL = 1

# Timeout of a call to an engine on the same VM, which takes milliseconds.
ORDER_TIMEOUT_SECONDS = 0.08
# Attempts at one order before its failure is reported.
MAX_ORDER_ATTEMPTS = 6
