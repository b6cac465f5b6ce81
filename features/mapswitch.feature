Feature: Every pass of a group begins on one expert map

  Scenario: A group follows its demand, and no pass waits for it
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    Then the group has switched its map
    And no pass has begun on two maps
    And no pass has waited

  Scenario: The most loaded rank has less to do after a switch
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    Then the hot expert is on more than one rank

  Scenario: The plan of a large group leaves time for heartbeats
    Given a question for a plan of 72 ranks, 144 experts and 12 sets
    When it is planned
    Then no more than 2 sets were planned at a time
    And the most loaded rank has at most 1.25 times the mean

  Scenario: A group that forms anew while it is planned for
    Given a group of 4 engines under a leader
    When it forms anew while a plan is made
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And the group has switched its map

  Scenario: The counts of some ranks tell the demand of a large group
    Given a leader in place "p" that hears 24 agents there and 48 elsewhere
    Then it asks 16 agents for counts, all of them in place "p"

  Scenario: A leader that has heard no engine yet asks for counts as well
    Given a leader in place "p" that knows of 24 agents there and 48 elsewhere
    Then it asks 16 agents for counts, all of them in place "p"

  Scenario Outline: An agent tells at once what changes, and the rest seldom
    Given an agent of a group of <ranks> ranks whose counts are <wanted>
    When its engine runs passes for 6 seconds
    Then it has told the leader <calm> times
    And it tells at once that its engine is armed

    Examples:
      | ranks | wanted     | calm     |
      | 16    | wanted     | 18 to 21 |
      | 72    | wanted     | 18 to 21 |
      | 72    | not wanted | 9 to 11  |

  Scenario: A new leader is told by every agent
    Given an agent of a group of 72 ranks whose counts are not wanted
    When its engine runs passes for 6 seconds
    And another leader asks it
    Then it tells at once

  Scenario: The agent that has just given the hold is killed
    Given a group of 4 engines under a leader
    When the first rank holds a pass and its agent is down for 4 seconds
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass has waited longer than 1.0 seconds

  Scenario: The VM that has just given the hold stands still
    Given a group of 4 engines under a leader
    When a pass is held and the VM that gave the hold stands still for 4 seconds
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass has waited longer than 0.3 seconds

  Scenario: The node that gives holds does not answer
    Given a group of 4 engines under a leader
    And two entries that may give holds, the first choice cut off
    When 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass has waited
    And the leader itself has given no hold
    And the group has switched its map

  Scenario: A giver that does not answer holds up one switch for a moment
    Given a group of 4 engines under a leader
    And two entries that may give holds, the first choice cut off
    When 1.6 seconds pass at the group
    Then the group has switched its map
    And no pass has waited

  Scenario: A hold that comes after it was taken back is found at once
    Given a group of 4 engines under a leader
    When a hold reaches its engine 0.35 seconds late
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass has waited longer than 0.1 seconds

  Scenario: A hold that comes after it was taken back, to a group without work
    Given a group of 4 engines under a leader
    When a hold reaches its engine 0.35 seconds late, while nothing is to do
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And no pass has waited longer than 0.1 seconds

  Scenario Outline: A hold that nobody remembers is found while nothing is planned
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    And <seconds> seconds pass at the group
    And the first rank holds the pass after the next <ahead>
    And 2 seconds pass at the group
    Then no pass has begun on two maps
    And no pass has waited longer than 0.1 seconds

    Examples:
      | seconds | ahead |
      | 0.05    | 2     |
      | 0.1     | 2     |
      | 0.15    | 2     |
      | 0.2     | 2     |

  Scenario: A leader that takes over resolves a hold
    Given a group of 4 engines under a leader
    When the first rank holds a pass and the leader freezes
    And 0.5 seconds pass at the group
    And another leader takes over
    And 3 seconds pass at the group
    Then no pass has begun on two maps
    And passes go on

  Scenario: A frozen leader that wakes changes nothing
    Given a group of 4 engines under a leader
    When the first rank holds a pass and the leader freezes
    And another leader takes over
    And 2 seconds pass at the group
    And the frozen leader wakes
    And 3 seconds pass at the group
    Then no pass has begun on two maps
    And passes go on

  Scenario: A late order to arm finds nothing that it could arm
    Given a group of 4 engines under a leader
    When a lost order to arm comes just before the pass it was meant for
    Then no pass has begun on two maps

  Scenario: A group that forms anew begins again with its first map
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    And the group forms anew
    And 5 seconds pass at the group
    Then no pass has begun on two maps
    And the group has switched its map

  Scenario: A leader whose lease ended while it stood still orders nothing
    Given a group of 4 ranks in the middle of a switch whose orders are lost
    When its leader stands still while another one takes over
    And an answer that waited for it is read before its timers run
    Then it has given no order

  Scenario: One map a pass under random schedules
    When 150 random schedules of lost and late orders run
    Then no pass of any schedule has begun on two maps
    And passes go on in each of them
