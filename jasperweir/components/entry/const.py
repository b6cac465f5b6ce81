"""Constants of the entry."""

# An entry that is slow to hear of the leave may name this one a little longer.
EXTRA_DRAIN_SECONDS = 3.0
# The burn rate goes through all customers of the last minute.
BURN_SECONDS = 2.0
EXPORT_SECONDS = 1.0
