"""Constants of the order of service."""

# Priorities 0 to 9 are told apart; others count as the nearest of them.
BANDS = 10
# Band of requests whose priority is unknown.
LOWEST_BAND = BANDS - 1
# Entries send their demand at least every 0.5 s, so it has its full weight for
# that long, seconds.
DEMAND_FRESH_SECONDS = 0.5
# Demand of an entry that has sent nothing for this long is dropped, seconds.
DEMAND_STALE_SECONDS = 1.5
# Sums over all entries are reused for this long, seconds: a queue is served at
# this interval.
SUM_TTL_SECONDS = 0.02
# Largest count that is read from another entry's demand. Higher ones are
# errors, and would keep all slots for one band.
COUNT_MAX = 100_000
# Customers with the most running requests that an entry names to others.
CUSTOMERS_SENT = 8

# Time constant of the smoothed arrival rate of a band, seconds: a burst of some
# seconds is followed, and the spread of single arrivals is not.
ARRIVAL_SECONDS = 2.0
# Share of the slots that each band with demand may use, however urgent the
# others are.
FLOOR_SHARE = 0.1
# Time until the other entries see that a slot is used or free: the 4 ms for
# which an entry collects changes, and the way of the message, seconds.
VIEW_DELAY_SECONDS = 0.006
# Share of its possible wait that the forecast of a waiting request may exceed
# before it is refused. Refusals by a forecast that is a little too long would
# leave slots unused.
FORECAST_SLACK = 3.0

# Customers whose place in the order is remembered; above it, those without
# waiting or running requests are dropped.
CUSTOMERS_MAX = 4096
# Arrival rates below this are not sent, requests a second.
RATE_MIN = 0.05

# Range of delays for refused callers, seconds: earlier, the same requests would
# still be running; later, most callers give up.
RETURN_MIN_SECONDS = 0.25
RETURN_MAX_SECONDS = 2.2
# Callers follow a delay of up to a third of the time that they have left; less
# a margin for the way.
RETURN_LEFT_SHARE = 0.32
# Lowest rate of returns, requests a second, so that they fit into the range.
RETURNS_PER_S_MIN = 0.5
# The order of the last decision is used for a refusal for this long, seconds.
ORDER_TTL_SECONDS = 0.1

# Running requests of a customer above which its next ones go after those of
# others, as a multiple of an equal share. At 1, customers with equal demand
# would be over their share half of the time.
CUSTOMER_SHARE_SLACK = 1.25
# With as many free slots for each of the entries that share them no request
# waits, whatever its priority.
PLENTY_SLOTS_PER_ENTRY = 4
# While no slot is free the order is computed at this interval, seconds.
ORDER_REUSE_SECONDS = 0.1
# Interval at which an entry without waiting requests sends its demand, seconds.
DEMAND_INTERVAL_SECONDS = 0.25
