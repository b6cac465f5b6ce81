Feature: Under load that comes in waves most callers are still served in time

  Scenario: Short passes limit nothing
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 36 streams run and passes take 0.06 s
    Then there is no limit

  Scenario: While passes are too long nothing new is let in
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 45 streams run and passes take 0.13 s
    Then at most 40 streams may run

  Scenario: A little room is left while passes are nearly too long
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 40 streams run and passes take 0.1 s
    Then between 41 and 44 streams may run

  Scenario: A limit is never zero
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 2 streams run and passes take 0.4 s
    Then at least 18 streams may run

  Scenario: A stall is no pass
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 36 streams run and passes take 0.06 s
    And a stream pauses for 1.5 s
    Then there is no limit

  Scenario: What was seen a second ago limits nothing
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 45 streams run and passes take 0.13 s
    And 1 second passes without a pause
    Then there is no limit

  Scenario: Routes of one service: the shortest pause that they allow counts
    Given routes to a group that allow pauses of 0.12 s and of 0.08 s
    Then its passes are to stay below 0.08 s

  Scenario Outline: Demand that jumps under a heavy load
    Given a group whose passes follow what was measured on one of 12 engines
    When <rate> requests a second arrive for 60 seconds and demand jumps each 3.3 s
    Then with the limit <more> more of 100 are in time than without it

    Examples:
      | rate | more |
      | 22   | 0    |
      | 28   | 3    |
      | 32   | 8    |
      | 38   | 0    |

  Scenario: Who can still be in time goes before who is late
    Given requests that came 0.9, 0.2 and 0.1 s ago and are to be answered in 0.5 s
    When one place after the other becomes free
    Then they are sent in the order 0.2, 0.1, 0.9

  Scenario Outline: A place is foreseen from how long requests run
    Given requests that run for <whole> s
    When <running> of them run and <ahead> others wait for a place
    Then a place is foreseen in <wait> s

    Examples:
      | whole | running | ahead | wait |
      | 1.5   | 30      | 0     | 0.05 |
      | 1.5   | 30      | 9     | 0.5  |
      | 1.5   | 0       | 1     | 3.0  |

  Scenario Outline: A first try waits if a place is foreseen in time, else not
    Given a first try of a route that is to answer in 0.5 s and has 8 s
    When a place is foreseen in <wait> s
    Then it <waits>

    Examples:
      | wait | waits                 |
      | 0.05 | waits for 0.6 s       |
      | 0.4  | waits for 0.8 s       |
      | 0.9  | waits for 1.0 s       |
      | 1.2  | is refused at once    |

  Scenario: The queues of other entries are known until they are stale
    Given another entry has told of 3 requests in time and 2 late ones
    Then 3 requests in time and 2 late ones wait elsewhere
    When 2 seconds pass without news of it
    Then 0 requests in time and 0 late ones wait elsewhere
