"""Constants of the entry."""

TICK_SECONDS = 0.05
BEAT_SECONDS = 5.0
BEAT_UNANSWERED_SECONDS = 1.0
# A new revision is reported at once, within this jitter.
BEAT_JITTER_SECONDS = 0.1
FLOOR_ASK_SECONDS = 0.5
STALE_SECONDS = 30.0
EXTRA_DRAIN_SECONDS = 1.0
