"""Constants of the request report."""

# Logged outcomes of requests that were rejected without being run.
REFUSALS = frozenset(
    {
        "overloaded",
        "targets_refused",
        "no_target",
        "not_ready",
        "draining",
    }
)
# Length of a report window, seconds.
WINDOW_SECONDS = 2.0
# Number of worst windows in the report.
WORST_WINDOWS = 5
# Log events that mark a state change of a process. The report lists them
# beside the outcomes of the requests in the same window.
STATE_CHANGE_EVENTS = frozenset(
    {
        "role changed",
        "expert map",
        "version in force",
        "ready",
        "stop asked for",
        "data folder read",
        "disk refuses",
        "targets refuse",
        "targets accept again",
        "target leaves",
        "target replaced",
        "send failed",
        "started",
    }
)
# Log events of attempts whose answer may have been cut off. Each attempt has at
# most one of them; "request ended" repeats what they say.
CUT_EVENTS = frozenset({"send failed", "answer not read in time"})
# Beginning of each line that a process writes.
LINE_START = '{"at":'
# Number of targets with the most cut answers in the report.
CUT_TARGETS_SHOWN = 8
# Most customers that the report lists.
CUSTOMERS_SHOWN = 24
