"""Limits of the registry."""

# Eight days of answers at 1,200 changes a day.
ANSWERS_KEPT = 10_000
AUDIT_KEPT = 1_000
EVERYWHERE = "*"
