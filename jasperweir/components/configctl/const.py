"""Constants of the control VMs."""

# Resolution of the timers, fine enough for log heartbeats and elections.
TICK_SECONDS = 0.05
# Interval of heartbeats between control VMs.
HEARTBEAT_SECONDS = 0.25
# A control VM that is silent for this long is no longer advertised.
CONTROL_SILENT_SECONDS = 3.0
# Time after a commit at which an entry that lacks the version is reported:
# half of that within which it must be in force, and more than an entry's
# heartbeat interval.
SPREAD_SECONDS = 1.0
# Interval at which all target records are resent, so that their ages stay
# correct: three times before an unrefreshed target expires.
REFRESH_SECONDS = 10.0
# Time within which an update reaches all nodes: some milliseconds, and 0.2 to
# 0.4 s for one TCP retransmission.
CHANGE_DELIVERY_SECONDS = 0.5
# Minimum interval between full lists sent to the same node.
RESEND_LIST_SECONDS = 0.5
# Timeout of a request; the operator, which waits for 1 s, is then answered
# with a result that asks for a retry.
REQUEST_TIMEOUT_SECONDS = 0.85
# Interval at which a pending request is resent to the leader.
RESEND_REQUEST_SECONDS = 0.3
# Both are longer by this for each byte of the request: operators wait longer
# for the answer to a large configuration.
REQUEST_SECONDS_PER_BYTE = 0.5e-6
# zlib level for configurations; 1 is the fastest.
COMPRESS_LEVEL = 1
# Log length and log size at which a snapshot is taken; the log is kept in
# memory and on disk.
COMPACT_ENTRIES = 64
COMPACT_BYTES = 8 << 20
# A member that is silent for this long may lose its seat to a new one.
SEAT_SILENT_SECONDS = 2.0
# A leader waits this long for control VMs that are not among the seeds before
# it accepts configurations with fewer seats than wanted.
SEATS_WAIT_SECONDS = 5.0
# Time that a deciding control VM without a disk waits for requests for a seat
# before it chooses one of the applicants to bootstrap the log.
BOOTSTRAP_WAIT_SECONDS = 1.5
# Requests for a seat that are older than this are ignored.
SEAT_REQUEST_TTL_SECONDS = 2.5
# Time after a start for which a target that was known before is listed without
# a heartbeat: several heartbeats of 1.2 s.
RESTORED_SECONDS = 10.0
# Timeout for a second control VM to acknowledge a target that is new.
UPDATE_ACK_TIMEOUT_SECONDS = 0.5
