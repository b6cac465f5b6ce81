"""Constants of the replicated log."""

HEARTBEAT_SECONDS = 0.3
ELECTION_MIN_SECONDS = 1.2
ELECTION_MAX_SECONDS = 2.4
# The lease ends before any voter that heard this leader may elect another.
LEASE_SECONDS = 0.9
APPEND_MAX_ENTRIES = 64
APPEND_MAX_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
RESEND_SECONDS = 0.6
# A joining learner is promoted once it trails by at most this many entries.
PROMOTE_LAG_ENTRIES = 8
HELLO_SECONDS = 1.0

KIND_NOOP = "noop"
KIND_SEATS = "seats"
KIND_OP = "op"
