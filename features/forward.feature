Feature: Requests get one correct response and are retried only where that is safe

  Scenario Outline: A retry after a fault depends on the route and the fault
    Given a <kind> request that one target has received
    When the attempt fails with "<fault>"
    Then the decision is "<decision>"

    Examples:
      | kind      | fault    | decision        |
      | safe      | not_run  | retry           |
      | safe      | unknown  | retry           |
      | unsafe    | not_run  | targets_refused |
      | unsafe    | unknown  | broken_off      |
      | unsafe    | unsent   | retry           |
      | unsafe    | replaced | retry           |
      | stream    | unknown  | broken_off      |
      | resumable | unknown  | retry           |

  Scenario: "Not run" is never reported once a target may have run the request
    Given a safe request that one target has received
    When the attempt fails with "unknown"
    And a second attempt fails with "not_run"
    Then the decision is "broken_off"

  Scenario Outline: A response is trusted only with its signature
    Given a <kind> request that one target has received
    When a target responds with <status> that is <marks>
    Then the response is classified as "<class>"

    Examples:
      | kind   | status | marks            | class    |
      | safe   | 200    | signed           | valid    |
      | safe   | 200    | unsigned         | unknown  |
      | safe   | 200    | signed, encoded  | unknown  |
      | unsafe | 503    | unsigned         | unknown  |
      | unsafe | 503    | not run          | not_run  |
      | unsafe | 421    | of another       | replaced |
      | unsafe | 500    | signed           | valid    |
      | safe   | 500    | signed           | unknown  |
      | unsafe | 404    | signed           | valid    |

  Scenario: A resumed stream waits longer than a first attempt
    Then a resumed request waits 1.8 s for a slot and a first attempt 0.6 s

  Scenario: Only complete events are passed on and the last id is tracked
    When the stream "id: 1|data: a||id: 2|data: b||id: 3|da" is split
    Then 2 events are passed on and the last id is "2"

  Scenario: An event that arrives in parts is passed on once
    When a stream arrives as "id: 7|da" and then "ta: x||"
    Then 1 events are passed on and the last id is "7"

  Scenario: Entries share the retry budget without coordination
    Given 10 entries with a budget of 0.2 and a burst of 96
    When each of them gets 20 requests and retries all of them
    Then the retries of all entries stay within the budget

  Scenario Outline: Load is reported to all entries or within cells
    Given <entries> entries in 3 data centres
    Then each entry reports to <peers> others, all in its data centre: <local>

    Examples:
      | entries | peers    | local |
      | 10      | 9        | no    |
      | 17      | 16       | no    |
      | 37      | 11 to 12 | yes   |
      | 300     | 5 to 35  | yes   |

  Scenario: Load reports within a cell are mutual
    Given 300 entries in 3 data centres
    Then two entries report to each other or not at all

  Scenario Outline: A large system prefers nearby targets while they have free slots
    Given <entries> entries in 3 data centres
    And <targets> targets in 3 data centres
    Then each entry prefers <preferred> targets

    Examples:
      | entries | targets | preferred |
      | 10      | 16      | 16        |
      | 37      | 72      | 24        |
      | 37      | 3       | 3         |

  Scenario: Excess load of a data centre goes to targets in the others
    Given 20 entries in the first data centre and 10 in each of two others
    And 72 targets in 3 data centres
    Then each target gets the same share of all requests within 10 percent

  Scenario: The target with the least load from all entries is chosen
    Given targets "a,b,c" with 2 slots each
    When another entry has 2 requests at "a" and 1 at "b"
    Then every request goes to "c" until it has as many as "b"

  Scenario: Load reports of a stopped entry expire
    Given targets "a,b,c" with 2 slots each
    When another entry has 2 requests at "a" and 1 at "b"
    And 2 seconds pass at the balancer
    Then 6 slots are free

  Scenario: Load that a target reports beyond the known requests occupies slots
    Given targets "a,b,c" with 2 slots each
    When "a" reports 2 running and 1 waiting requests
    Then 4 slots are free

  Scenario: A fault of most targets ejects only some of them
    Given targets "a,b,c" with 2 slots each
    When all targets fail hard
    Then a target is still chosen

  Scenario: Requests of high priority get free slots first
    When requests of priority 2, 1 and 2 wait and one slot is free
    Then the request of priority 1 gets the slot

  Scenario: Retry delays spread out requests that are rejected in a row
    When 20 requests are rejected within a second
    Then the last has a longer retry delay than the first
    And no retry delay is above 2.9 s

  Scenario Outline: A retry of a caller is recognized by its stated deadline
    Given callers of a route of 8 s that stated <earlier> s before
    Then a caller that states <stated> s has used <used> s

    Examples:
      | earlier | stated | used |
      | 8.05    | 8.05   | 0    |
      | 8.05    | 5.4    | 2.6  |
      | 8.05    | 7.9    | 0    |
      | 5.0     | 5.0    | 0    |
      | 60      | 8.05   | 0    |

  Scenario: A shorter timeout does not make first attempts look like retries
    Given callers of a route of 8 s that stated 8.05 s before
    When the timeout is changed to 7.5 s
    Then a caller that states 8.05 s has used 0 s
    And a caller that states 5.4 s has used 2.1 s

  Scenario: Retry delays are longer while no target is announced
    When 20 requests are rejected because there is no target
    Then each retry delay is 1.6 to 2.6 s

  Scenario Outline: A retry of a caller waits longer than a first attempt
    Given a request of a caller that has used <used> s and has <left> s left
    Then it waits <waits> s for a slot

    Examples:
      | used | left | waits |
      | 0    | 8.0  | 0.6   |
      | 2.6  | 5.4  | 1.4   |
      | 6.8  | 1.2  | 0.4   |

  Scenario: The caller that made its first attempt earliest gets a free slot
    When a retry waits whose caller has used 2 s, and an older first attempt
    Then the retry gets the free slot

  Scenario: An outage is distinguished from full targets
    When a service refuses 2 requests in a row
    Then it has no outage
    When it refuses one more
    Then it has an outage, with one probe by a waiting request every 0.5 s
    When a target accepts a request
    Then it has no outage

  Scenario: Isolated refusals are not an outage
    When a service refuses a request every 3 s, 5 times
    Then it has no outage

  Scenario: Callers retry after an outage, not during it
    When 20 requests are rejected during an outage
    Then each retry delay is 1.6 to 2.6 s

  Scenario Outline: Entries share free slots that all of them see
    Given 10 entries where <waiting> requests wait each
    When all of them see <slots> free slots
    Then they fill <least> to <most> in total, and <mean> on average

    Examples:
      | waiting | slots | least | most | mean |
      | 12      | 96    | 90    | 100  | 96   |
      | 1       | 1     | 0     | 5    | 1    |
      | 2       | 96    | 20    | 20   | 20   |
      | 0       | 96    | 0     | 0    | 0    |

  Scenario: Free slots go to timely requests of all entries before late ones
    Given an entry with 3 late waiting requests, and one with 3 timely ones
    When both see 3 free slots
    Then the first fills none and the second 3
