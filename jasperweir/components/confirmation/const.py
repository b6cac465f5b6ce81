"""Constants of confirmations."""

# Time after its commit within which a version must be in force everywhere.
APPLY_SECONDS = 2.0
# Time for which a process acts on a version after it was last known to be the
# newest. It is below the time within which an acknowledged version must be in
# force everywhere.
VALID_SECONDS = 1.5
# Age of the last confirmation at which a process asks more often.
ASK_AFTER_SECONDS = 1.0
ASK_INTERVAL_SECONDS = 0.1
# Time within which a reachable control VM answers. Until then a process whose
# confirmation has expired does not conclude that none can be had.
ANSWER_SECONDS = 0.3
# An answer of a voter to a question that is older than this does not show that
# the voter is reached.
REACH_SECONDS = 1.0
# A process that did nothing for this long was suspended; what it asked before
# that proves nothing.
SUSPENDED_SECONDS = 1.0
# The same while it waits for an answer: it asks at ASK_INTERVAL_SECONDS, and
# answers may wait in its sockets.
STALLED_SECONDS = 0.3
# Steady clocks that part by this between two readings were set, or the machine
# was suspended; reading one after the other takes far less.
CLOCK_STEP_SECONDS = 0.05
# Requests for confirmation that are remembered until they are answered.
MAX_ROUNDS = 64
# Age of the last confirmation at which other entries are asked, and the
# interval. The control VMs usually answer before.
PEER_ASK_AFTER_SECONDS = 1.2
PEER_ASK_SECONDS = 0.4
# Most VMs that are asked and counted; on a larger site a sample is.
MAX_PEERS = 64
# A VM that is no longer listed counts among those of the site for this long.
KNOWN_SECONDS = 30.0
# Interval at which a current process updates which VMs it knows.
PEER_UPDATE_SECONDS = 1.0
