"""Constants of the report on requests."""

# Result codes, as outcomes in the log, that say that a request has not run.
REFUSALS = frozenset(
    {
        "overloaded",
        "targets_refused",
        "no_target",
        "not_ready",
        "draining",
    }
)
# Length of a window of the report, seconds.
WINDOW_SECONDS = 2.0
# Windows that the report names as the worst.
WORST_WINDOWS = 5
# Events that tell of a change in what a process believes: the report puts
# those of a window beside what became of its requests.
CHANGES = frozenset(
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
