"""Constants of balancing at one entry."""

# Entries tell each other a change of their open requests after this long, so
# that a burst goes in one message; two that see the same free place meet in a
# shorter time than a heartbeat of an engine.
SHARE_DELAY_SECONDS = 0.004
# And all of them this often, whether anything has changed or not.
SHARE_SECONDS = 0.5
# Figures of an entry that has been silent for longer count no more.
SHARE_STALE_SECONDS = 1.5
# Up to this many entries all tell each other; beyond, only those of a cell:
# messages grow with the square of those who talk.
MESH_ENTRIES = 24
# A data centre with twice as many entries or more is split into cells.
CELL_ENTRIES = 16
# A cell of fewer targets than this is no home: sent to first, it would make
# the fault of one target that of many requests.
HOME_TARGETS = 6
# A load header is trusted for this long.
REPORT_SECONDS = 1.0

# News of slow targets holds this long without being told again.
PACE_SECONDS = 2.0
# Places at a target that is this many times slower do not count.
PACE_MAX = 2.0
# Streams leave a target from this pace on. A group waits in each pass for what
# its slowest rank runs, and six streams take as long there as its fixed part.
MOVE_PACE = 3.0

# Failures in a row after which a target is left out, and for how long.
EJECT_FAILURES = 2
EJECT_SECONDS = 1.0
EJECT_MAX_SECONDS = 8.0
# No more than this share of a service's targets is left out at once.
EJECT_SHARE = 0.5
# A target whose smoothed time is this many times the median is avoided.
SLOW_FACTOR = 2.5
SLOW_COST = 1.0
TIME_SMOOTHING = 0.25

# A pass of a group at work takes this many times its fixed steps without any
# stream that writes: prompts are read in between.
PASS_FIXED_FACTOR = 1.5
# Pauses longer than this many times what callers allow are no passes.
PASS_LONGEST = 4.0
# How far one reading moves the time of a pass.
PASS_SMOOTHING = 0.6
# A pass of more than this time ago says nothing of the present, seconds.
PASS_FRESH_SECONDS = 0.4
# Below this share of the pause that callers allow a pass is no reason to limit
# anything, and says little of what a stream costs.
PASS_CALM = 0.8
# While passes take longer than this share of the pause that callers allow,
# nothing new is let in: single passes take some longer than most, and one that
# is too long makes every stream of the group late.
PASS_SHARE = 0.88
# Whatever passes take, each target may run streams in this share of its slots:
# with a slow rank they stay long. And an entry that is cut off from others sees
# few of the streams, and would take each for dearer than it is.
PASS_LEAST_SHARE = 0.25

# Who is late already, with nothing of its answer yet, gets a place only while
# fewer than this share of all are taken: those who come meanwhile are in time.
LATE_SHARE = 0.85
# A group that has shown no pass of late may have begun anew, with a map that
# does not fit: full, it would pass the pause that callers allow.
COLD_SHARE = 0.6

# Share of the retry budget that the entries use in all, so that figures
# that have not arrived yet cannot exceed it.
BUDGET_SHARE = 0.6

# A first try waits for a place for this many times its target time at most. It
# is refused at once if the forecast is longer, so that its caller can come back
# when there is one; a caller that sees no first event leaves after four times.
WAIT_SHARE = 2.0
# And for no more than this share of the time that its caller has left.
WAIT_MOST_SHARE = 0.25
# It waits this many times as long as the forecast says, which is a mean.
FORECAST_FACTOR = 2.0
# And this long in any case, seconds: a group that is being switched to a map
# that fits takes new streams again after it.
WAIT_LEAST_SECONDS = 0.6
# How far one request moves the usual times of its service.
FORECAST_SMOOTHING = 0.1
# A caller that resumes a stream has no further try: it waits this long for a
# place, or for targets and a configuration to be there again, since a late
# rest of its answer is worth more to it than none.
RESUMED_WAIT_SECONDS = 1.8
# A caller that was refused and has come back has no further try either, but
# nothing of its answer yet. It waits for this many times its target time: it
# would leave after four times that without a first event.
RETURNED_WAIT_SHARE = 3.5
# And for no more than this share of the time that it has left.
RETURNED_WAIT_MOST_SHARE = 1 / 3
# A caller that has used up this much of its route's usual time has come back;
# the earliest that a refusal asks anybody back, less the spread of networks.
RETURN_LEAST_SECONDS = 0.15
# An entry that started no longer ago than this expects its configuration and
# its targets any moment; they come within 1.0 s after a loss of all power. One
# that still lacks them is cut off. Seconds.
START_SECONDS = 3.0
# So long it keeps a request meanwhile: a caller without a first event leaves
# after 2 s, some 0.3 s of which its answer takes. Seconds.
START_WAIT_SECONDS = 1.2
# Targets that have just started refuse until their group has formed, and do so
# within some ms; whom they have not refused for this long they have taken, and
# those who wait follow. Seconds.
START_TAKEN_SECONDS = 0.06
# Meanwhile one of those who wait tries them this often, seconds: more often
# than in an outage, as the group is about to accept.
START_PROBE_SECONDS = 0.2
# And one refusal is enough to know that they do: each further one of each entry
# takes from the retry budget what they need later.
START_REFUSALS = 1
# No more requests than this are kept without a configuration: what callers of a
# large site send to one entry in a second is some tens, each of some KB.
START_KEPT_MOST = 512
# Time until a waiting request is tried again where targets refused it.
PAUSE_SECONDS = 0.15

# A service that has refused this many requests in a row serves nobody.
OUTAGE_REFUSALS = 3
# Refusals that are further apart say nothing about each other: a dead rank
# holds up its group's work for 1.5 s before the next refusals come.
OUTAGE_SILENT_SECONDS = 2.0
# During an outage requests that come for the first time are its probes. An
# entry that gets none sends a waiting request this often instead.
OUTAGE_PROBE_SECONDS = 0.5
