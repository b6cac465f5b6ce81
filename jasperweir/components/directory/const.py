"""Constants of the directory."""

KIND_ENTRY = "entry"
KIND_AGENT = "agent"

# A silent target is forgotten after this long: many heartbeats of 1.2 s, so
# that the loss of all control VMs for some seconds forgets nobody.
FORGET_SECONDS = 30.0
# Whether any is silent for that long is looked at this often, seconds.
FORGET_LOOK_SECONDS = 0.5
# Of two incarnations at one address, one that was heard this much earlier than
# the other is there no more: three heartbeats of 1.2 s. Seconds.
SUCCESSOR_SECONDS = 3.6
# A target that left is remembered, so that a late heartbeat does not bring it
# back; late ones come seconds later, a day's length is far above that.
TOMBSTONE_SECONDS = 120.0
# Nodes beat this often; three missed beats and a node is left out of the
# addresses that callers get.
NODE_BEAT_SECONDS = 0.25
NODE_SILENT_SECONDS = 0.9
# Agents beat once a second, since nobody is sent to them.
AGENT_SILENT_SECONDS = 3.0
NODE_FORGET_SECONDS = 10.0
