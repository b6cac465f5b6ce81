"""Constants of the test doubles."""

DEFAULT_TOKENS = 20
DEFAULT_TOKEN_SECONDS = 0.01
PREFILL_SECONDS = 0.02
PREFILL_CACHED_SECONDS = 0.004
CACHE_PREFIXES = 64
LOAD_LAG_SECONDS = 0.5
EVENT_LAG_SECONDS = 1.0
EVENT_LOSS = 0.2
# Delay between the start of a request that crashes the process and the crash.
CRASH_DELAY_SECONDS = 0.04
# Time from a request to the first event of its answer at a target that reads
# prompts.
PROMPT_SECONDS = 0.15
