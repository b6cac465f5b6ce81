"""Constants of requests under which targets end."""

# A connection that broke is followed by a new one after this long, which shows
# whether the target still listens: a process that ends closes its connections
# one after the other, its listener among them.
CHECK_SECONDS = 0.1
# A target that gave no sign at all may have ended with its VM. If another
# incarnation is at its address within this time it has, seconds; an end by
# which a VM restarts takes longer than one of a process alone.
UNCLEAR_SECONDS = 10.0
# Requests that are remembered for one target that may have ended. It runs some
# six at once; more than these are lost with it only if its queue is long.
SUSPECTS_MAX = 32
# Bytes of the digest of a request's content. It has to be collision-resistant:
# a caller must not be able to name another request as its own.
CONTENT_BYTES = 16

# A request is kept from targets once this many have ended under it, none of
# which answered again, without a whole answer in between. One end says little:
# some five requests run beside the cause, on a target that may end by itself.
# Each further one stops a whole group of ranks for more than 3 s.
ENDS_MAX = 2
# A run that began no more than this before another one ended with its target is
# taken for one that began after it: ages of marks lose as much on their way.
APART_SECONDS = 0.05
# This many targets that end within this time under one request have one cause,
# be it the request or not, seconds. A request that ends its target and is sent
# on once ends two.
TOGETHER_LEAST = 3
TOGETHER_SECONDS = 0.25
# For how long it is kept from them, seconds; twice as long with each further
# end. A caller that sends it every few seconds would end one more target each
# time; after ten minutes an operator may have mended what it ends.
HOLD_SECONDS = 600.0
HOLD_MAX_SECONDS = 86400.0
# A request under which one target has ended is forgotten after this long.
FORGET_SECONDS = 600.0
# Requests that are remembered; those with the fewest ends go first. At six for
# each end, and one end of a target each four seconds, five minutes' worth.
RECORDS_MAX = 512
# Ends that are remembered of one request; more cannot make its hold longer.
MARKS_MAX = 16

# An entry compares what it remembers with one control VM this often, seconds:
# what a lost message or a restart has cost comes back within some of them.
COMPARE_SECONDS = 1.0
# Where a whole exchange has left a difference, the next one waits this long,
# and longer each time, seconds: two full ledgers may differ for good, while an
# exchange that was lost is to be made up for within seconds.
EXCHANGE_LEAST_SECONDS = 0.5
EXCHANGE_GROWTH = 1.25
EXCHANGE_MOST_SECONDS = 30.0
