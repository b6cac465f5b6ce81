"""Constants of the replicated log."""

# Three heartbeats may be lost before an election, and a VM whose share of a
# processor is a quota may stand still for a tenth of a second at a time.
HEARTBEAT_SECONDS = 0.15
ELECTION_MIN_SECONDS = 0.6
ELECTION_MAX_SECONDS = 1.2
# The lease ends before any voter that heard this leader may elect another.
LEASE_SECONDS = 0.45
# A voter that has just started may have promised a lease that it forgot, and
# takes part in no election until that has ended: LEASE_SECONDS, and a tenth for
# clocks that differ in pace. With the usual timeouts three voters that had all
# lost power took the lead 0.79 s after the last start, now 0.59 s (means of 200
# seeds on the virtual clock; six voters 0.71 and 0.57 s).
RESTART_SECONDS = 0.5
# Voters that start together stand one after the other, so that votes are not
# split: one tick of a control VM apart. Seconds.
STAGGER_SECONDS = 0.05
# A voter that finds that the others have not waited long enough yet asks again
# after a time from this range: all start within a third of a second. Seconds.
START_RETRY_SECONDS = (0.08, 0.16)
# And stands again after this long if votes were split, well above the time in
# which votes arrive, a synced write and a round trip. Seconds.
START_ELECTION_SECONDS = (0.15, 0.45)
# It does so for this long after its start; later the others are down. Seconds.
START_WINDOW_SECONDS = 3.0
APPEND_MAX_ENTRIES = 64
APPEND_MAX_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
RESEND_SECONDS = 0.3
# A joining learner is promoted once it trails by at most this many entries.
PROMOTE_LAG_ENTRIES = 8
# A voter that has been silent this long is replaced by a learner, where there
# are as many voters as are wanted. Seconds.
REPLACE_SECONDS = 2.0
HELLO_SECONDS = 1.0

KIND_NOOP = "noop"
KIND_SEATS = "seats"
KIND_OP = "op"
