Feature: All ranks of a group begin a pass on the same expert map

  Scenario: A group switches to a map for its demand without delaying a pass
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    Then the group has switched its map
    And no pass has begun on two maps
    And no pass was delayed

  Scenario: A switch replicates the most selected expert
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    Then the hot expert is on more than one rank

  Scenario: A large group is planned in short calls
    Given a plan request for 72 ranks, 144 experts and 12 sets
    When the plan is made
    Then no more than 2 sets were planned in one call
    And the peak load is at most 1.25 times the mean

  Scenario: A group re-forms while its plan is made
    Given a group of 4 engines under a leader
    When it re-forms while a plan is made
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And the group has switched its map

  Scenario: A leader requests counts from some ranks of a large group
    Given a leader in data centre "p" with heartbeats of 24 agents there and 48 elsewhere
    Then it requests counts from 16 agents, all of them in data centre "p"

  Scenario: A leader requests counts before the first heartbeat of an engine
    Given a leader in data centre "p" that knows 24 agents there and 48 elsewhere
    Then it requests counts from 16 agents, all of them in data centre "p"

  Scenario Outline: An agent reports changes at once and otherwise at intervals
    Given an agent of a group of <ranks> ranks whose counts are <wanted>
    When its engine runs passes for 6 seconds
    Then it has sent <count> heartbeats
    And it reports at once that its engine is armed

    Examples:
      | ranks | wanted     | count    |
      | 16    | wanted     | 18 to 21 |
      | 72    | wanted     | 18 to 21 |
      | 72    | not wanted | 9 to 11  |

  Scenario: An agent reports to a new leader at once
    Given an agent of a group of 72 ranks whose counts are not wanted
    When its engine runs passes for 6 seconds
    And another leader sends a rate request
    Then it reports at once

  Scenario: The agent of the rank that holds a pass is killed
    Given a group of 4 engines under a leader
    When the first rank holds a pass and its agent is down for 4 seconds
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass was delayed for more than 1.0 seconds

  Scenario: The VM that has sent the hold freezes
    Given a group of 4 engines under a leader
    When a pass is held and the VM that sent the hold freezes for 4 seconds
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass was delayed for more than 0.3 seconds

  Scenario: The entry that sends holds does not answer
    Given a group of 4 engines under a leader
    And two entries that may send holds, the selected one cut off
    When 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass was delayed
    And the leader itself has sent no hold
    And the group has switched its map

  Scenario: An unanswered hold delays a switch only briefly
    Given a group of 4 engines under a leader
    And two entries that may send holds, the selected one cut off
    When 1.6 seconds pass at the group
    Then the group has switched its map
    And no pass was delayed

  Scenario: A hold that arrives after its release is detected at once
    Given a group of 4 engines under a leader
    When a hold reaches its engine 0.35 seconds late
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass was delayed for more than 0.1 seconds

  Scenario: A hold that arrives after its release is detected in an idle group
    Given a group of 4 engines under a leader
    When a hold reaches its engine 0.35 seconds late, while the group is idle
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass was delayed for more than 0.1 seconds

  Scenario Outline: An unknown hold is detected between two plans
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    And <seconds> seconds pass at the group
    And the first rank holds the pass after the next <ahead>
    And 2 seconds pass at the group
    Then no pass has begun on two maps
    And no pass was delayed for more than 0.1 seconds

    Examples:
      | seconds | ahead |
      | 0.05    | 2     |
      | 0.1     | 2     |
      | 0.15    | 2     |
      | 0.2     | 2     |

  Scenario: A new leader resolves a hold
    Given a group of 4 engines under a leader
    When the first rank holds a pass and the leader freezes
    And 0.5 seconds pass at the group
    And another leader takes over
    And 3 seconds pass at the group
    Then no pass has begun on two maps
    And passes go on

  Scenario: A leader that resumes after a freeze changes nothing
    Given a group of 4 engines under a leader
    When the first rank holds a pass and the leader freezes
    And another leader takes over
    And 2 seconds pass at the group
    And the frozen leader resumes
    And 3 seconds pass at the group
    Then no pass has begun on two maps
    And passes go on

  Scenario: A delayed order to arm has no effect after a call-off
    Given a group of 4 engines under a leader
    When a lost order to arm arrives just before its pass
    Then no pass has begun on two maps

  Scenario: A re-formed group starts with its first map and switches again
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    And the group re-forms
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And the group has switched its map

  Scenario: A leader whose lease has expired during a freeze sends no orders
    Given a group of 4 ranks that is being armed, with unanswered orders
    When its leader freezes while another one takes over
    And it reads a queued answer before its timers run
    Then it has sent no order

  Scenario: Ranks begin each pass on the same map under random schedules
    When 150 random schedules of lost and delayed orders run
    Then no pass of any schedule has begun on two maps
    And passes go on in each of them
