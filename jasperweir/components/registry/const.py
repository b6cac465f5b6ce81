"""Limits of the registry."""

# Answers kept for resent operations, eight days of them at 1,200 a day.
MAX_ANSWERS = 10_000
MAX_AUDIT_RECORDS = 1_000
EVERYWHERE = "*"
