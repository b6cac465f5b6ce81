"""Constants of balancing at one entry."""

# Entries tell each other a change of their open requests after this long, so
# that a burst goes in one message; two that see the same free place meet in a
# shorter time than a heartbeat of an engine.
SHARE_DELAY_SECONDS = 0.004
# And all of them this often, whether anything has changed or not.
SHARE_SECONDS = 0.5
# Figures of an entry that has been silent for longer count no more.
SHARE_STALE_SECONDS = 1.5
# Up to this many entries all tell each other; beyond, only those of a cell
# (37 entries that all told each other sent most of the bytes between data
# centres, docs/MEASUREMENTS.md).
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

# Share of the retry budget that the entries use in all, so that figures
# that have not arrived yet cannot exceed it.
BUDGET_SHARE = 0.6

# A request may wait for a place for this share of its target time: later
# refusals cost their whole credit.
WAIT_SHARE = 0.2
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
