"""Constants of the replicated log."""

# Three heartbeats may be lost before an election, and a VM whose share of a
# processor is a quota may stand still for a tenth of a second at a time.
HEARTBEAT_SECONDS = 0.15
ELECTION_MIN_SECONDS = 0.6
ELECTION_MAX_SECONDS = 1.2
# The lease ends before any voter that heard this leader may elect another.
LEASE_SECONDS = 0.45
APPEND_MAX_ENTRIES = 64
APPEND_MAX_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
RESEND_SECONDS = 0.3
# A joining learner is promoted once it trails by at most this many entries.
PROMOTE_LAG_ENTRIES = 8
HELLO_SECONDS = 1.0

KIND_NOOP = "noop"
KIND_SEATS = "seats"
KIND_OP = "op"
