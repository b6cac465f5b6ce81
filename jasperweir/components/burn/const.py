"""Constants of the burn report."""

BUCKET_SECONDS = 10.0
KEPT_SECONDS = 3600.0
WINDOWS_SECONDS = (60.0, 300.0, 3600.0)
SHORTEST = WINDOWS_SECONDS[0]
MIN_SAMPLES = 20

GOOD = "good"
LATE_FIRST = "late_first_token"
LATE_GAP = "late_gap"
FAILED = "failed"
REFUSED = "refused"
CAUSES = (LATE_FIRST, LATE_GAP, FAILED, REFUSED)
