"""Constants of requests under which targets end."""

# A connection that broke is followed by a new one after this long, which shows
# whether the target still listens: a process that ends closes its connections
# one after the other, its listener among them.
CHECK_SECONDS = 0.1
# Requests that are remembered for one target that may have ended. It runs some
# six at once; more than these are lost with it only if its queue is long.
SUSPECTS_MAX = 32
# Bytes of the digest of a request's content. It has to be collision-resistant:
# a caller must not be able to name another request as its own.
CONTENT_BYTES = 16
