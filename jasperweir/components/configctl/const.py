"""Constants of control over whole configurations."""

# Fine enough for heartbeats and elections of the log.
TICK_SECONDS = 0.05
# Control VMs tell each other and the nodes what they hold this often.
HEARTBEAT_SECONDS = 0.25
# Another control VM is not listed any more after this silence.
CONTROL_SILENT_SECONDS = 3.0
# All target records are sent this often even if nothing has changed, so that
# their ages stay right: three times before a target would be forgotten.
REFRESH_SECONDS = 10.0
# A change that was sent to all has arrived after this long: some milliseconds
# on a sound link; a packet that is lost comes again after 0.2 to 0.4 s.
CHANGE_DELIVERY_SECONDS = 0.5
# And a whole list that was sent after this long, on a link that 10 nodes
# share; a node that lacks it gets it again.
RESEND_LIST_SECONDS = 0.5
# An operator waits a second for an answer; this is when it is told to ask
# again, and when a question is dropped.
REQUEST_TIMEOUT_SECONDS = 0.85
# A question is sent again to the leader after this long.
RESEND_REQUEST_SECONDS = 0.3
# Large bodies are compressed at this zlib level: 1 is the fastest.
COMPRESS_LEVEL = 1
# Entries of the log that a snapshot replaces; each holds a configuration.
COMPACT_ENTRIES = 64
# A member that has been silent this long may lose its seat to a new one.
SEAT_SILENT_SECONDS = 2.0
# A leader waits this long for control VMs that the seeds do not name: all
# start within a third of a second, and a seat takes some tenths.
SEATS_WAIT_SECONDS = 5.0
# Where the control VM that decides on the founder has no disk, it hears for so
# long who has one; all start within a third of a second.
BOOTSTRAP_WAIT_SECONDS = 1.5
# A process that asked for a seat longer ago than this is not considered.
SEAT_REQUEST_TTL_SECONDS = 2.5
# Time that the acknowledgement of a leaving target waits for a second
# control VM to know of it.
UPDATE_ACK_TIMEOUT_SECONDS = 0.5
