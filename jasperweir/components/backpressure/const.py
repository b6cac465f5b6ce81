"""Constants of backpressure."""

# A longer rest is taken for this one, seconds: a target that was misread, or
# that has stated nonsense, is asked again within minutes.
REST_MOST_SECONDS = 300.0
# A target that refuses without a word on how long gets requests again after
# this long, twice as long after each further refusal, and earlier only if all
# others refuse as well, seconds.
AVOID_SECONDS = 0.25
AVOID_MOST_SECONDS = 8.0
# After a rest a target gets one request, and others once it has taken that one
# or has not refused it for this long, seconds. Refusals come within some ms.
TRIAL_SECONDS = 0.25
# A rest is forgotten this long after its end, seconds.
KEPT_SECONDS = 10.0
# Values of one header of one answer that are read; more are nonsense.
VALUES_MAX = 4
# Targets of which it is remembered what they ask; the oldest goes first.
TARGETS_MAX = 4096
# Bytes of a value that could not be read which are logged.
SHOWN_BYTES = 32
# What another entry tells holds this long without being told again, seconds.
TOLD_SECONDS = 1.0
# Targets of one message of another entry that are read.
TOLD_MAX = 1024

# A lower limit is taken for this one, requests a second: its end is heard of
# only with an answer.
LIMIT_LEAST = 0.25
# A target bears this many requests beyond its limit at once: so many seconds'
# worth of it, and so many besides.
LIMIT_SPARE_SECONDS = 2.0
LIMIT_SPARE = 4.0
# Requests that an owner sends at once after a pause.
OWNER_BURST = 1.5
# An entry that is not heard of keeps its part of limits for this long, seconds.
ENTRIES_KEPT_SECONDS = 60.0
# Part of a limit that those take who look whether it still stands.
LOOK_SHARE = 0.1
# A limit that no answer names again is forgotten after this long, or later
# where many look, seconds.
LIMIT_KEPT_SECONDS = 10.0
