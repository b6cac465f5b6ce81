Feature: Every step runs under one expert map, and plans make few moves

  Scenario: A switch takes effect without a stall
    Given a group of three hosts
    When 3 seconds pass in the group
    And the coordinator switches maps
    And 3 seconds pass in the group
    Then steps ran under 2 maps

  Scenario: A host that misses the switch stalls instead of diverging
    Given a group of three hosts
    When 3 seconds pass in the group
    And "h2" is cut off and the coordinator switches maps
    And 5 seconds pass in the group
    Then no step ran for the last 3 seconds
    When the cut in the group heals
    And 3 seconds pass in the group
    Then steps ran under 2 maps

  Scenario: A map that cannot be loaded is aborted and the old one stays
    Given a group of three hosts
    When 3 seconds pass in the group
    And the weight store fails and the coordinator switches maps
    And 3 seconds pass in the group
    Then steps ran under 1 maps
    And steps go on

  Scenario: A pending switch is replaced by the next one
    Given a group of three hosts
    When 3 seconds pass in the group
    And the coordinator switches maps twice at once
    And 3 seconds pass in the group
    Then steps ran under 2 maps

  Scenario: A replaced coordinator that still runs has no effect
    Given a group of three hosts
    When 3 seconds pass in the group
    And another coordinator is appointed while the old one still runs
    And 3 seconds pass in the group
    And the old coordinator switches maps
    And 3 seconds pass in the group
    Then steps go on
    And the last step ran under the new coordinator

  Scenario: A host that restarts without state rejoins the group
    Given a group of three hosts
    When 3 seconds pass in the group
    And "h3" restarts without state
    And 6 seconds pass in the group
    Then steps go on

  Scenario Outline: Rules of grants
    Then the rule of grants holds: <rule>

    Examples:
      | rule                                     |
      | a grant needs loaded weights             |
      | an old term has no effect                |
      | a new map needs all hosts to be prepared |

  Scenario: Random schedules keep one map per step
    Then 60 random schedules of 40 events keep one map per step

  Scenario: Each expert keeps a copy after every move of a plan, within the budget
    Then 40 random plans keep a copy of each expert after every move

  Scenario: The bundle's weight balances skew against moves
    When plans for the same drift are made with both users' weights
    Then the Association's skew is not above Notograf's
    And Notograf's moves are fewer

  Scenario: A straggler is distinguished from a loaded rank and gets less load
    When rank 2 is slow and rank 5 has twice the load
    Then only rank 2 is a straggler
    And the plan gives rank 2 less load than the others
