"""Limits of the registry."""

# Eight days of answers at 1,200 changes a day.
MAX_ANSWERS = 10_000
MAX_AUDIT_RECORDS = 1_000
EVERYWHERE = "*"
