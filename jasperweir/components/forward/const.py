"""Constants of forwarding."""

# Time reserved for the response's way back to the caller, seconds.
RESPONSE_MARGIN_SECONDS = 0.03
# Least time to the deadline at which another attempt is made, seconds.
MIN_ATTEMPT_SECONDS = 0.05
# Some servers drop idle connections without notice, a few after 0.3 s, and a
# request written to such a connection has an unknown outcome. Non-idempotent
# requests only reuse connections that were idle no longer than this, seconds.
MAX_IDLE_SECONDS = 0.15
# Attempts that may fail to reach the intended target before a request fails.
MAX_UNDELIVERED = 4
# Responses of routes without streams are buffered up to this size, so that a
# broken response can still be replaced by a retry.
MAX_BUFFERED_BYTES = 256 * 1024
# Largest difference between the ends of a caller's time, as it states them at
# two attempts, seconds: delays of the network and of a busy entry.
RETURN_TOLERANCE_SECONDS = 0.25
# Refused requests that an entry remembers, and most of them in one message.
RETURNS_MAX = 4096
RETURNS_SENT_MAX = 256
# Longest time that is read of another entry's refused request, seconds.
RETURN_MAX_SECONDS = 60.0
# Targets cut off answers that stay unread for some seconds. A connection that
# breaks after a shorter pause of its caller, seconds, shows a fault of the
# target.
UNREAD_SECONDS = 1.0
# A closed connection is noticed only once it is read. One that breaks so soon
# after the caller has read again was cut off while it paused, seconds.
HELD_UP_SECONDS = 0.5
# Deadline of requests whose caller does not state one, seconds.
DEFAULT_DEADLINE_SECONDS = 30.0
