Feature: Nodes are known, suspected, refuted, gone and back

  Scenario: Every entry learns of every node
    Given 8 entries and 12 agents
    Then every entry sees every node as "ALIVE"

  Scenario: A dead entry and a dead agent are out within seconds
    Given 8 entries and 12 agents
    When "e3" and "a5" die
    And 4 seconds pass among the nodes
    Then every entry sees "a5" as "SUSPECT"
    When 4 seconds pass among the nodes
    Then every entry sees "e3" as "DEAD"
    And every entry sees "a5" as "DEAD"

  Scenario: A leaving agent is known everywhere, also if its agent then dies
    Given 8 entries and 12 agents
    When "a5" announces that it leaves
    And 2 seconds pass among the nodes
    Then every entry sees "a5" as "LEAVING"
    When "a5" dies
    And 8 seconds pass among the nodes
    Then every entry sees "a5" as "DEAD"

  Scenario: A target back at the same address is a new incarnation
    Given 8 entries and 12 agents
    When "a5" dies
    And 8 seconds pass among the nodes
    And "a5" starts again
    And 4 seconds pass among the nodes
    Then every entry sees "a5" as "ALIVE"

  Scenario: A restart whose clock went back still gets in
    Given 8 entries and 12 agents
    When "a5" restarts with a lower incarnation
    And 6 seconds pass among the nodes
    Then every entry sees "a5" as "ALIVE"
    And "a5" has taken a higher incarnation

  Scenario: A node that was only slow refutes its death
    Given 8 entries and 12 agents
    When "a5" is frozen for 9 seconds
    Then every entry sees "a5" as "DEAD"
    When 5 seconds pass among the nodes
    Then every entry sees "a5" as "ALIVE"

  Scenario: An entry frozen for an hour accuses nobody when it thaws
    Given 8 entries and 12 agents
    When "e2" is frozen for 60 seconds
    And 3 seconds pass among the nodes
    Then nobody but "e2" had to refute anything

  Scenario: Two halves that lost each other heal without a storm
    Given 8 entries and 12 agents
    When half of the nodes are apart for 120 seconds
    Then each half sees the other as "DEAD"
    When the halves meet again for 25 seconds
    Then every entry sees every node as "ALIVE"
    And the healing took fewer than 200 messages a node

  Scenario: All agents restart at once
    Given 8 entries and 12 agents
    When all agents restart
    And 6 seconds pass among the nodes
    Then every entry sees every node as "ALIVE"

  Scenario: An entry that has no configuration yet names no addresses
    Given an entry that has just started and knows two others
    Then it gives no address answer
    And with a bundle whose answers are kept for 1 s it names the two for 1 s
