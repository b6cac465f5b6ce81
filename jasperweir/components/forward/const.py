"""Constants of forwarding."""

# Time to a deadline that is left for the answer's own way back, seconds.
RESPONSE_MARGIN_SECONDS = 0.03
# A second send must leave this much time to be of use, seconds.
MIN_ATTEMPT_SECONDS = 0.05
# A server may forget an idle connection without a word, some after 0.3 s, and
# a request written to it has an unknown outcome. One that must not run twice
# goes out on a connection that has rested no longer than this, or on a new one.
MAX_IDLE_SECONDS = 0.15
# Sends that may miss their target before the request is given up.
MAX_UNDELIVERED = 4
# Answers of routes without streams are held until whole, up to this size, so
# that one that breaks off can be replaced.
MAX_BUFFERED_BYTES = 256 * 1024
# An event that is larger than this is passed on in parts.
MAX_EVENT_BYTES = 256 * 1024
# A deadline that a caller does not state, seconds.
DEFAULT_DEADLINE_SECONDS = 30.0
