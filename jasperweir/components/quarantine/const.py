"""Constants of the quarantine."""

# Delay from a broken connection to the new one that shows whether the target
# still listens, seconds: a crashing process closes its connections and its
# listener one after the other.
CHECK_SECONDS = 0.1
# A target that didn't answer the check may have been lost with its VM. It has
# crashed if another incarnation takes its address within this time, seconds; a
# restart of the VM takes longer than one of the process.
REPLACEMENT_SECONDS = 10.0
# Requests that are recorded for one target that may have crashed. It runs about
# six at once; more are lost with it only if its queue is long.
SUSPECTS_MAX = 32
# Requests that an entry has cancelled before any response are among those that
# ran on a target which crashes so soon after, seconds. So many are remembered,
# and so many count for one target: callers that leave must not take the place
# of those whose connections broke.
ABANDONED_SECONDS = 2.0
ABANDONED_MAX = 256
ABANDONED_SUSPECTS_MAX = SUSPECTS_MAX // 2
# Bytes of the digest of a request's content. It has to be collision-resistant:
# a caller must not be able to forge the fingerprint of another request.
CONTENT_BYTES = 16
# Parts of one prompt that are looked at.
PARTS_MAX = 128

# A request is quarantined once this many targets have crashed under it without
# a complete answer in between. A single crash is weak evidence, since some five
# other requests ran on the target too; each further one stops a whole group of
# ranks for more than 3 s.
CRASHES_MAX = 2
# A run that began at most this long before another one crashed counts as begun
# after it, seconds: the ages of marks lose that much in transit.
AGE_TOLERANCE_SECONDS = 0.05
# At least this many targets that crash within COMMON_CAUSE_SECONDS under one
# request have one cause, which may not be the request.
COMMON_CAUSE_MIN = 3
COMMON_CAUSE_SECONDS = 0.25
# Duration of a quarantine, seconds; doubled with each further crash. A caller
# that sends the request every few seconds would crash one more target each
# time.
QUARANTINE_SECONDS = 600.0
QUARANTINE_MAX_SECONDS = 86400.0
# A request with a single crash is dropped after this long, seconds.
SINGLE_CRASH_TTL_SECONDS = 600.0
# Requests in the ledger; those with the fewest crashes are dropped first. With
# six requests for each crash and a crash every 4 s this covers five minutes.
RECORDS_MAX = 512
# Marks that are kept of one request; more can't make its quarantine longer.
MARKS_MAX = 16

# A part of prompts is quarantined after this many crashes under requests that
# have it, if one with it was answered before them: it may have been beside the
# cause each time. Otherwise CRASHES_MAX are enough.
ANSWERED_CRASHES_MAX = 3
# A response that has gone on this long after its first event, seconds, shows
# that the target doesn't crash on the request: a crash comes as the target
# begins to respond.
SETTLED_SECONDS = 0.25
# Parts that an entry remembers as answered, and for how long, seconds.
ANSWERED_PARTS_MAX = 4096
ANSWERED_SECONDS = 600.0
# While some crashes point at a part, one request with it is sent at a time. Its
# result is awaited this long, seconds; an entry may end before it is known.
TRIAL_SECONDS = 10.0
# Retry-After of a request that would be a second one, seconds: a trial takes
# about as long.
TRIAL_RETRY_SECONDS = 0.5

# Interval at which an entry compares its digest with a control VM, seconds.
# What a lost message or a restart has cost is back after some of them.
COMPARE_SECONDS = 1.0
# Pause before all marks are sent again to a process whose digest still differs,
# seconds. It grows with each exchange, because two full ledgers may differ
# permanently.
EXCHANGE_MIN_SECONDS = 0.5
EXCHANGE_GROWTH = 1.25
EXCHANGE_MAX_SECONDS = 30.0
