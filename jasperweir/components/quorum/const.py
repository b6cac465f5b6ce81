"""Constants of the replicated log."""

# An election starts only after three heartbeats are lost, because a VM with a
# CPU quota may be paused for 0.1 s at a time.
HEARTBEAT_SECONDS = 0.15
ELECTION_MIN_SECONDS = 0.6
ELECTION_MAX_SECONDS = 1.2
# The lease expires before a voter that heard this leader may elect another.
LEASE_SECONDS = 0.45
# A restarted voter takes no part in elections for this long, since it may have
# acknowledged a lease before the restart: LEASE_SECONDS, and a tenth for clocks
# that run at different speeds.
RESTART_SECONDS = 0.5
# Voters that start together begin their elections this far apart, one tick of
# a control VM, to avoid split votes.
STAGGER_SECONDS = 0.05
# Range of the wait before a voter that has just started repeats a failed
# pre-vote, seconds: voters that start together do so within a third of a
# second.
START_RETRY_SECONDS = (0.08, 0.16)
# Range of the wait before a voter that has just started repeats an election
# after a split vote: longer than a synced write and a round trip.
START_ELECTION_SECONDS = (0.15, 0.45)
# The waits above apply for this long after a start.
START_WINDOW_SECONDS = 3.0
APPEND_MAX_ENTRIES = 64
APPEND_MAX_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
RESEND_SECONDS = 0.3
# A learner is promoted once it trails the leader by at most this many entries.
PROMOTE_LAG_ENTRIES = 8
# A voter that has been silent for this long counts as lost, and a learner is
# promoted in its place.
REPLACE_SECONDS = 2.0
HELLO_SECONDS = 1.0
# A disk is proved lost by requests for a seat with another disk over at least
# this long; they are sent once in HELLO_SECONDS.
LOSS_PROOF_SECONDS = 1.0
# The proof expires this long after the last request: one request may be lost.
LOSS_PROOF_TTL_SECONDS = 2.5
# An election that rests on lost disks skips this many terms. Lost disks may
# hold the only record of the terms of the last leader, and a term must not be
# used twice; elections are at least 0.15 s apart, so this is over 40 hours of
# failed elections.
RECOVERY_TERM_STEP = 1_000_000

KIND_NOOP = "noop"
KIND_SEATS = "seats"
KIND_OP = "op"
