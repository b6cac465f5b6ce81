Feature: Which targets are cold is known at every entry

  Scenario Outline: A heartbeat with any cold time keeps its target
    When a target's heartbeat states <value> as its cold time
    Then the target is announced with a cold time of <seconds> s

    Examples:
      | value      | seconds |
      | 2500       | 2.5     |
      | 0          | 0       |
      | -1         | -1      |
      | 1e300      | -1      |
      | 1e400      | -1      |
      | 99999999999999999999999999 | -1 |
      | NaN        | -1      |
      | -Infinity  | -1      |
      | "soon"     | -1      |
      | null       | -1      |
      | true       | -1      |
      | {"ms": 3}  | -1      |

  Scenario: A target with an unreadable cold time stays cold only after its start
    Given a target that starts at 100 s with a cold time of -1 s
    Then for a service with 3 s of cold time it is cold at 102.9 s because of its start
    And for a service with 3 s of cold time it is warm at 103.1 s

  Scenario: A heartbeat that states less than the configured time ends the cold time
    Given a target that starts at 100 s with a cold time of -1 s
    When a heartbeat made at 101 s states 0.5 s
    Then for a service with 3 s of cold time it is cold at 101.4 s because of its heartbeat
    And for a service with 3 s of cold time it is warm at 101.6 s

  Scenario: A heartbeat that arrives late does not make its target cold for longer
    Given a target that starts at 100 s with a cold time of 3 s
    When a heartbeat made at 101 s states 2 s, received at 102.5 s
    Then for a service with 3 s of cold time it is warm at 103.1 s

  Scenario: An answer tells of a cold target before its heartbeat does
    Given a target that starts at 100 s with a cold time of 0 s
    When an answer at 110 s states 2 s
    Then for a service with 3 s of cold time it is cold at 111 s because of its answer
    And for a service with 3 s of cold time it is warm at 112.1 s

  Scenario: A heartbeat made after a cold answer overrides it, one made before does not
    Given a target that starts at 100 s with a cold time of 0 s
    When an answer at 110 s states 2 s
    And a heartbeat made at 109.9 s states 0 s, received at 110.2 s
    Then for a service with 3 s of cold time it is cold at 110.5 s because of its answer
    When a heartbeat made at 110.6 s states 0 s
    Then for a service with 3 s of cold time it is warm at 110.7 s

  Scenario: An answer of an earlier start says nothing about a later one
    Given a target that starts at 100 s with a cold time of 0 s
    When an answer at 110 s states 2 s
    And the target starts again at 109.9 s with a cold time of 0 s
    Then for a service with 3 s of cold time it is warm at 110.6 s

  Scenario: After an evacuation targets are cold until a heartbeat made later
    Given a target that starts at 100 s with a cold time of 0 s
    When the evacuation of its data centre ends at 200 s
    And a heartbeat made at 199.9 s states 0 s, received at 200.3 s
    Then for a service with 3 s of cold time it is cold at 209 s because of its evacuation
    When a heartbeat made at 210 s states 0 s
    Then for a service with 3 s of cold time it is warm at 210 s

  Scenario: The end of an evacuation leaves targets of other data centres warm
    Given a target that starts at 100 s with a cold time of 0 s
    When the evacuation of another data centre ends at 200 s
    Then for a service with 3 s of cold time it is warm at 200.1 s

  Scenario: Cold and warm reach every entry within a second, without a message for each heartbeat
    Given a site with 4 entries and a target that has started
    When its heartbeats state 4 s, then less at each of 10 heartbeats, then 0 s
    Then every entry knows within 1 s that it is cold, and that it is warm
    And each entry has received at most 2 updates of the target from each control VM
