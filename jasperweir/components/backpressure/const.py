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
