Feature: One order of service over all entries

  Scenario: With capacity for all requests no slot is reserved
    Given 100 running requests of priority 0 and 20 of priority 2 that take 2 s
    When 30 requests of each priority arrive a second and 10 slots are free
    Then a request of priority 2 leaves 0 slots

  Scenario: Less urgent requests take the last slots before urgent ones arrive
    Given 100 running requests of priority 0 and 20 of priority 2 that take 2 s
    When 40 requests of each priority arrive a second and 1 slots are free
    Then a request of priority 2 leaves between 1 and 3 slots
    And a request of priority 0 leaves 0 slots

  Scenario: Without urgent arrivals no slot is reserved
    Given 0 running requests of priority 0 and 120 of priority 2 that take 2 s
    When 0 requests of priority 0 and 90 of priority 2 arrive a second
    Then a request of priority 2 leaves 0 slots

  Scenario: A new less urgent request takes the slot that an urgent one awaits elsewhere
    Given another entry where 2 requests of priority 0 wait in time
    When 2 slots are free and a request of priority 2 arrives
    Then it is not sent before the waiting ones
    And with 3 free slots it is

  Scenario: The entry with many low-priority requests gets all free slots
    Given another entry where 4 requests of priority 0 wait in time
    When 4 slots are free and 40 requests of priority 2 wait here
    Then this entry may fill 0 slots

  Scenario: Urgent requests starve the others
    Given 100 running requests of priority 0 and 0 of priority 2 that take 2 s
    When 50 requests of each priority wait here and 8 slots are free
    Then priority 2 gets 8 slots
    And with 12 running requests of priority 2 it gets 0 slots

  Scenario: An urgent request is refused because of those it would overtake
    Given another entry where 60 requests of priority 2 wait in time
    When 100 requests run for 2 s and all slots are used
    Then the forecast of a request of priority 0 is below 0.1 s
    And that of a request of priority 2 is above 1 s

  Scenario: An older entry's queue is taken for urgent demand
    Given another entry of an older version where 7 requests wait
    Then its requests count as 7 of priority 9

  Scenario Outline: The demand of an entry that has fallen silent keeps slots free
    Given another entry where 8 requests of priority 0 wait in time
    When nothing is heard from it for <age> s
    Then its requests count as <count> of priority 0

    Examples:
      | age | count |
      | 0.4 | 8     |
      | 1.0 | 4     |
      | 1.6 | 0     |

  Scenario Outline: An odd demand from a peer ends in an exception
    Given another entry that sends the demand <raw>
    Then its requests count as <count> of priority <band>

    Examples:
      | raw                                   | count  | band |
      | ["s", 0, 3, 1, 2, 0.5, 1.0, [], "x"]  | 3      | 0    |
      | ["s", 0, 3]                           | 3      | 0    |
      | ["s", 17, 3, 0, 0]                    | 3      | 9    |
      | ["s", -2, 3, 0, 0]                    | 3      | 0    |
      | ["s", 0, -5, 0, 0]                    | 0      | 0    |
      | ["s", 0, 99999999999, 0, 0]           | 100000 | 0    |
      | ["s", 0, "many", null, []]            | 0      | 0    |
      | ["s", 0, 3, 0, 0, 0, 0, [["c"], 7]]   | 3      | 0    |
      | [7, 0, 3]                             | 0      | 0    |
      | 5                                     | 0      | 0    |

  Scenario: A delayed demand replaces a newer one
    Given another entry where 8 requests of priority 0 wait in time
    When an earlier message of it arrives that names 2
    Then its requests count as 8 of priority 0

  Scenario: A priority without a band of its own is lost
    When requests of priority -1, 3 and 12 arrive
    Then they count in the bands 0, 3 and 9 and 2 are clamped

  Scenario: Refused callers return to slots that are not free yet
    Given refused callers of priorities 2, 2, 0 and 2 while 2 slots a second come free
    Then they return after 0.5, 1, 0.5 and 1.5 s

  Scenario: Refused callers are told to return after they have given up
    Given 40 refused callers with 3 s left while 2 slots a second come free
    Then all return between 0.25 and 0.96 s
    And no two of them return at the same time

  Scenario: A request waits for its deadline without a chance of a slot
    Given 9 waiting requests that end after 0.5 s while 2 slots a second come free
    Then 6 of them are refused at once
    And a request among them that resumes an answer still waits

  Scenario: A new late request goes before a caller that returns
    Given a late new request that is older than a late returning one
    When the order gives one slot to their priority
    Then the returning one gets it

  Scenario: A slot that comes free is taken although an urgent request waits elsewhere
    Given another entry where 1 requests of priority 0 wait in time
    When 1 slots are free and 40 requests of priority 2 wait here
    Then no request takes over a slot of this entry

  Scenario: A slot that comes free waits until all entries know it
    Given another entry where 1 requests of priority 2 wait in time
    When 1 slots are free and 3 requests of priority 2 wait here
    Then one request takes over a slot of this entry

  Scenario: Urgent and other requests choose the same free slot at the same time
    Given 4 targets with one free slot each
    When an urgent and another request are sent 20 times at the same time
    Then they never choose the same target

  Scenario: A customer with an equal share waits behind others
    Given customers with 9, 10, 11 and 30 running requests
    Then only the one with 30 is over its share

  Scenario: A single customer is over its share
    Given customers with 30 running requests
    Then none is over its share

  Scenario: The slot of a customer that sends little is not used by others
    Given a queue where only a customer over its share waits
    When the order gives one slot to their priority
    Then it gets the slot

  Scenario: A flooding customer is served in order of arrival
    Given 3 waiting requests of one customer and a later one of another
    When the order gives 2 slots and neither runs anything
    Then each of the two customers gets one

  Scenario: What a customer runs at other entries doesn't count
    Given 1 waiting requests of one customer and a later one of another
    When the order gives 1 slots and the first runs 5 at other entries
    Then the other customer gets it

  Scenario: The memory of customers grows with their number
    When 15000 customers send one request each
    Then at most 4096 of them are remembered

  Scenario: An entry that has just started decides by a view that it can't have
    Given entries that have all just started, seed 1
    When the least urgent requests arrive at 2.5 times their rate at once
    Then for 3 s the decisions are those of the entry's own order

  Scenario: An entry that is cut off reserves slots for requests it can't see
    Given an entry that hears none of 11 others
    Then the entry's own order applies to it

  Scenario: An entry in the smaller side of a partition keeps its view
    Given an entry that hears 5 of 11 others
    Then the entry's own order applies to it

  Scenario: An entry in the larger side of a partition loses the order
    Given an entry that hears 6 of 11 others
    Then the order over all entries applies to it

  Scenario Outline: The demand of all entries is summed while no request waits
    Given an entry with <free> free slots that hears 11 others
    Then <rule> applies to it

    Examples:
      | free | rule                       |
      | 48   | the entry's own order               |
      | 47   | the order over all entries |

  Scenario: An entry whose view is older than 1.5 s still uses it
    Given an entry that heard 11 of 11 others 1.6 s ago
    Then the entry's own order applies to it

  Scenario Outline: Waiting requests are refused though nothing shows how slots come free
    Given <running> running requests of priority 0 and 0 of priority 2 that take <whole_s> s
    When 6 requests of priority 1 wait without a free slot
    Then <hopeless> of the waiting requests count as hopeless

    Examples:
      | running | whole_s | hopeless |
      | 100     | 0       | 0        |
      | 0       | 1       | 0        |
      | 2       | 60      | 6        |
