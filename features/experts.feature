Feature: One expert map per step, moved cheaply

  Scenario: Steps run and a switch brings the next map without a stall
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

  Scenario: A map that cannot be loaded is given up and the old one goes on
    Given a group of three hosts
    When 3 seconds pass in the group
    And the weight store fails and the coordinator switches maps
    And 3 seconds pass in the group
    Then steps ran under 1 maps
    And steps go on

  Scenario: A switch is overtaken by the next
    Given a group of three hosts
    When 3 seconds pass in the group
    And the coordinator switches maps twice at once
    And 3 seconds pass in the group
    Then steps ran under 2 maps

  Scenario: An old coordinator that believes in itself has no effect
    Given a group of three hosts
    When 3 seconds pass in the group
    And another coordinator is appointed while the old one goes on
    And 3 seconds pass in the group
    And the old coordinator switches maps
    And 3 seconds pass in the group
    Then steps go on
    And the last step ran under the new coordinator

  Scenario: A host that restarts with no memory is brought back
    Given a group of three hosts
    When 3 seconds pass in the group
    And "h3" restarts with no memory
    And 6 seconds pass in the group
    Then steps go on

  Scenario Outline: Guard of grants
    Then the grants' guard holds: <guard>

    Examples:
      | guard                                    |
      | a grant needs loaded weights             |
      | an old term has no effect                |
      | a new map only when all hold it          |

  Scenario: Random schedules keep one map per step
    Then 60 random schedules of 40 events keep one map per step

  Scenario: Every prefix of a plan is valid, within slots and budget
    Then 40 random plans keep a copy of each expert after every move

  Scenario: The bundle's weight trades skew for moves
    When the same drift is planned for both users
    Then the Association's skew is not above Notograf's
    And Notograf's moves are fewer

  Scenario: A straggler rank is told from a loaded one and gets less
    When rank 2 is slow and rank 5 carries twice the load
    Then only rank 2 is called a straggler
    And the plan gives rank 2 less load than the others
