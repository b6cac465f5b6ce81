"""Constants of the entry."""

EXTRA_DRAIN_SECONDS = 1.0
# The burn rate goes through all customers of the last minute.
BURN_SECONDS = 2.0
EXPORT_SECONDS = 1.0
