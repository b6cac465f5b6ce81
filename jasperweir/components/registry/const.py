"""Limits of the registry."""

# Answers kept for resent operations, eight days of them at 1,200 a day.
MAX_ANSWERS = 10_000
MAX_AUDIT_RECORDS = 1_000
# Data centres with evacuation records, so that the state stays bounded.
MAX_EVACUATION_RECORDS = 256
# Records of targets that have departed: their number, and the age above which
# they are dropped, seconds. A target ends well within that time.
MAX_DEPARTURES = 1_024
DEPARTURE_SECONDS = 600.0
EVERYWHERE = "*"
