"""Constants of load balancing at an entry."""

# Entries send a change of their open requests after this delay, seconds: a
# burst of changes goes into one message. Two entries that see the same free
# slot collide for no longer than this.
SHARE_DELAY_SECONDS = 0.004
# Interval at which entries send all open requests, changed or not, seconds.
SHARE_SECONDS = 0.5
# Open requests of an entry that has sent nothing for this long are dropped,
# seconds.
SHARE_STALE_SECONDS = 1.5
# Up to this many entries all exchange their loads; with more, only the entries
# of a cell do, since the number of messages grows with the square of the
# entries.
MESH_ENTRIES = 24
# Entries of a cell; a data centre with at least twice as many is split.
CELL_ENTRIES = 16
# A cell with fewer targets than this sends to all targets of its data centre:
# the fault of one target would affect a large part of its requests.
CELL_TARGETS_MIN = 6
# A load that a target reports is used for this long, seconds.
REPORT_TTL_SECONDS = 1.0

# Reported slowdowns of targets are used for this long, seconds.
SLOWDOWN_TTL_SECONDS = 2.0
# The free slots of a target with this slowdown or more are not counted.
SLOWDOWN_MAX = 2.0
# Streams are moved away from a target with this slowdown or more: its whole
# group waits in each pass for the slowest rank, where six streams take as long
# as the fixed part.
MOVE_SLOWDOWN = 3.0

# A target is ejected after this many failures in a row, at first for
# EJECT_SECONDS, then for twice as long each time.
EJECT_FAILURES = 2
EJECT_SECONDS = 1.0
EJECT_MAX_SECONDS = 8.0
# At most this share of a service's targets is ejected at once.
EJECT_SHARE = 0.5
# A target whose smoothed time to first byte exceeds the median by this factor
# gets the additional cost below.
SLOW_FACTOR = 2.5
SLOW_COST = 1.0
TIME_SMOOTHING = 0.25

# Duration of a pass without decoding streams, as a multiple of its fixed steps:
# prompts are read in between.
PASS_FIXED_FACTOR = 1.5
# Pauses longer than this multiple of the longest allowed pause are stalls, not
# passes.
PASS_MAX_FACTOR = 4.0
# Weight of a new reading in the smoothed duration of a pass.
PASS_SMOOTHING = 0.6
# The duration of a pass is used for this long, seconds.
PASS_TTL_SECONDS = 0.4
# Passes shorter than this share of the longest allowed pause don't limit the
# streams; the cost of a stream can't be estimated from them.
PASS_UNLIMITED_SHARE = 0.8
# New streams are admitted while passes take less than this share of the longest
# allowed pause. Single passes are longer than the mean, and one that exceeds
# the allowed pause delays every stream of the group.
PASS_ADMIT_SHARE = 0.88
# Streams may always use this share of a target's slots. With a slow rank passes
# stay long, and an entry that is cut off from others sees few of the streams
# and overestimates the cost of each.
STREAMS_MIN_SHARE = 0.25

# A group that has formed anew admits streams up to STREAMS_MIN_SHARE of its
# slots at first, and more by this factor for each step in which its passes are
# short: the passes of a group whose map doesn't fit exceed the allowed pause
# with few streams already.
RAMP_FACTOR = 1.5
# Shortest time between two steps, seconds: some passes with the new streams.
RAMP_STEP_SECONDS = 0.25
# A step needs at least this share of the admitted streams; short passes with
# fewer streams show nothing.
RAMP_USED_SHARE = 0.5
# Time after which the streams of such a group are no longer limited this way,
# seconds; with little load there is nothing to measure.
RAMP_MAX_SECONDS = 5.0

# A late request that has received nothing of its answer is admitted only while
# fewer than this share of the slots are used, so that new requests stay in
# time.
LATE_SHARE = 0.85
# The share of the slots that late requests may use in a group without recent
# passes: it may have restarted with an expert map that doesn't fit, and its
# passes would exceed the allowed pause.
LATE_STALE_SHARE = 0.6

# Part of the allowed ratio of retries that entries use. A VM that restarts
# within a window may use it before and after, so twice this part must be
# allowed.
RETRY_RATIO_PART = 0.5
# Part of the burst that accrues to all entries together within a window, and
# the part that they may have saved up before. The rest covers entries that are
# not listed yet and retries that are under way.
RETRY_BURST_ACCRUAL = 0.25
RETRY_BURST_SAVED = 0.5
# The list of entries is short just after a start; no share of the burst accrues
# until it has been known for this long, seconds.
RETRY_LIST_SETTLE_SECONDS = 1.0
# Retries of each service that an entry may make at once when the whole system
# starts for the first time.
RETRIES_AT_FIRST_START = 2

# Longest time that a first attempt waits for a slot, as a multiple of its
# route's target time. If the forecast is longer it is refused at once and its
# caller can retry; callers give up after four times the target time without a
# first event.
WAIT_SHARE = 2.0
# The same as a share of the time that its caller has left.
WAIT_MAX_SHARE = 0.25
# Factor from the forecast, which is a mean, to the time that a request waits.
FORECAST_FACTOR = 2.0
# Shortest time that a first attempt waits, seconds: a group that switches to a
# new expert map accepts streams again within it.
WAIT_MIN_SECONDS = 0.6
# Weight of a new request in the smoothed times of its service.
FORECAST_SMOOTHING = 0.1
# Time that a caller that resumes a stream waits for a free slot, for targets or
# for a configuration, seconds. It has no further attempt, and a late rest of
# the answer is better than none.
RESUMED_WAIT_SECONDS = 1.8
# Longest time that a caller that retries after a refusal waits, as a multiple
# of its route's target time. It has no further attempt, and gives up after four
# times the target time without a first event.
RETRY_WAIT_SHARE = 3.5
# The same as a share of the time that it has left.
RETRY_WAIT_MAX_SHARE = 1 / 3
# A caller that has used up at least this much of its route's usual time is
# taken for one that retries, seconds: the shortest Retry-After delay less the
# spread of network delays.
RETRY_MIN_SECONDS = 0.15
# Callers choose their own time if less than this share of the last
# requests states the longest one, up to the tolerance in seconds. In a storm of
# retries where all callers state the same time, first attempts are a larger
# share.
STATED_COMMON_SHARE = 0.25
# The share at which they are taken to state the same time again.
STATED_COMMON_AGAIN_SHARE = 0.5
STATED_TOLERANCE_SECONDS = 0.02
# Requests by which this is decided, and the least number of them.
STATED_SAMPLES = 64
STATED_SAMPLES_MIN = 16
# An entry expects its configuration and its targets within this time after its
# start, seconds; one that still lacks them later is cut off.
START_SECONDS = 3.0
# Time that a starting entry holds a request meanwhile, seconds: callers give up
# after 2 s without a first event, and the answer takes some 0.3 s of that.
START_WAIT_SECONDS = 1.2
# A request that a starting target has not refused within this time is accepted,
# seconds: targets refuse within some ms until their group has formed.
START_TAKEN_SECONDS = 0.06
# Interval at which a starting entry sends a waiting request as a probe,
# seconds; shorter than in an outage, as the group is about to accept.
START_PROBE_SECONDS = 0.2
# Refusals in a row by which a starting entry knows that its targets refuse;
# each further one would use up the retry budget.
START_REFUSALS = 1
# Most requests that an entry holds without a configuration; callers of a large
# site send one entry some tens of requests of a few KB in a second.
START_BUFFERED_MAX = 512
# Delay until a waiting request that targets refused is sent again, seconds.
PAUSE_SECONDS = 0.15

# Refusals in a row that make an outage of a service.
OUTAGE_REFUSALS = 3
# Refusals further apart than this are not counted together, seconds; a group
# with a dead rank holds its work up for 1.5 s before it refuses again.
OUTAGE_SILENT_SECONDS = 2.0
# Interval at which an entry sends a waiting request as a probe in an outage if
# no new requests arrive, seconds.
OUTAGE_PROBE_SECONDS = 0.5
# Longest interval between two probes of a closed group by one entry while other
# groups of the service are open, seconds. Each probe may cost its caller the
# time for which a group with a dead rank holds requests up, so all entries
# together probe once in OUTAGE_PROBE_SECONDS as far as this bound allows.
GROUP_PROBE_MAX_SECONDS = 20.0
# The same for a group that refuses an entry while the list has it as open: it
# may have refused for a moment only, and no change of the list will tell.
GROUP_OPEN_PROBE_MAX_SECONDS = 2.0
# A group that refuses is taken for closed for this long without further
# refusals, seconds; longer than the interval between two probes.
GROUP_SILENT_SECONDS = 45.0

# Share of a distant group's slots that overflow from other data centres leaves
# to the group's own callers.
OVERFLOW_RESERVE_SHARE = 0.1
# Time in which all entries together may fill the capacity that each of them
# sees at a distant group, seconds: a report of the load comes back with the
# first byte of an answer, some 0.1 to 0.3 s after its request.
OVERFLOW_SECONDS = 0.3
# Interval at which an entry sends a request to a distant group of which it has
# no recent report, seconds.
OVERFLOW_BLIND_SECONDS = 0.5
# Shortest interval between two updates of the limit of a group, seconds.
GROUP_UPDATE_SECONDS = 0.05
