"""Constants of the stand-ins."""

DEFAULT_TOKENS = 20
DEFAULT_TOKEN_SECONDS = 0.01
PREFILL_SECONDS = 0.02
PREFILL_CACHED_SECONDS = 0.004
CACHE_PREFIXES = 64
LOAD_LAG_SECONDS = 0.5
EVENT_LAG_SECONDS = 1.0
EVENT_LOSS = 0.2
# A process ends this long after it began to run a request that ends it.
END_SECONDS = 0.04
