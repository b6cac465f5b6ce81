Feature: Under varying load most requests are still served in time

  Scenario: Short passes don't limit the streams
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 36 streams run and passes take 0.06 s
    Then there is no limit

  Scenario: While passes are too long no new streams are admitted
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 45 streams run and passes take 0.13 s
    Then at most 40 streams may run

  Scenario: A few more streams are admitted while passes are nearly too long
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 40 streams run and passes take 0.1 s
    Then between 41 and 44 streams may run

  Scenario: A limit is never zero
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 2 streams run and passes take 0.4 s
    Then at least 18 streams may run

  Scenario: A stall is not taken for a pass
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 36 streams run and passes take 0.06 s
    And a stream pauses for 1.5 s
    Then there is no limit

  Scenario: Passes of a second ago don't limit the streams
    Given a group of 12 engines whose callers allow pauses of 0.12 s
    When 45 streams run and passes take 0.13 s
    And 1 second passes without a pause
    Then there is no limit

  Scenario: The shortest pause allowed by any route of a service applies
    Given routes to a group that allow pauses of 0.12 s and of 0.08 s
    Then its passes must stay below 0.08 s

  Scenario Outline: Demand jumps under a heavy load
    Given a simulated group of 12 engines
    When <rate> requests a second arrive for 60 seconds and demand jumps each 3.3 s
    Then with the limit the share in time is at least <more> points higher

    Examples:
      | rate | more |
      | 22   | 0    |
      | 28   | 3    |
      | 32   | 8    |
      | 38   | 0    |

  Scenario: Requests that can still be in time are served before late ones
    Given requests that arrived 0.9, 0.2 and 0.1 s ago with a target time of 0.5 s
    When one slot after the other becomes free
    Then they are sent in the order 0.2, 0.1, 0.9

  Scenario Outline: The wait for a slot is forecast from the duration of requests
    Given requests that run for <whole> s
    When <running> of them run and <ahead> others wait for a slot
    Then the forecast wait for a slot is <wait> s

    Examples:
      | whole | running | ahead | wait |
      | 1.5   | 30      | 0     | 0.05 |
      | 1.5   | 30      | 9     | 0.5  |
      | 1.5   | 0       | 1     | 3.0  |

  Scenario Outline: A first attempt waits only if the forecast wait is short enough
    Given a first attempt with a target time of 0.5 s and 8 s left
    When the forecast wait for a slot is <wait> s
    Then it <waits>

    Examples:
      | wait | waits                 |
      | 0.05 | waits for 0.6 s       |
      | 0.4  | waits for 0.8 s       |
      | 0.9  | waits for 1.0 s       |
      | 1.2  | is refused at once    |

  Scenario: The queues of other entries are counted until they are stale
    Given another entry has reported 3 waiting requests in time and 2 late ones
    Then 3 requests in time and 2 late ones wait elsewhere
    When 2 seconds pass without a report of it
    Then 0 requests in time and 0 late ones wait elsewhere
