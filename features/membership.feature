Feature: Nodes join, fail, refute their failure, leave and return

  Scenario: Every entry learns of every node
    Given 8 entries and 12 agents
    Then every entry sees every node as "ALIVE"

  Scenario: A dead entry and a dead agent are detected within seconds
    Given 8 entries and 12 agents
    When "e3" and "a5" die
    And the nodes run for 4 seconds
    Then every entry sees "a5" as "SUSPECT"
    When the nodes run for 4 seconds
    Then every entry sees "e3" as "DEAD"
    And every entry sees "a5" as "DEAD"

  Scenario: A leaving agent is known everywhere, even if it then dies
    Given 8 entries and 12 agents
    When "a5" announces that it leaves
    And the nodes run for 2 seconds
    Then every entry sees "a5" as "LEAVING"
    When "a5" dies
    And the nodes run for 8 seconds
    Then every entry sees "a5" as "DEAD"

  Scenario: A target that returns at the same address is a new incarnation
    Given 8 entries and 12 agents
    When "a5" dies
    And the nodes run for 8 seconds
    And "a5" starts again
    And the nodes run for 4 seconds
    Then every entry sees "a5" as "ALIVE"

  Scenario: A restarted agent whose clock went back can rejoin
    Given 8 entries and 12 agents
    When "a5" restarts with a lower incarnation
    And the nodes run for 6 seconds
    Then every entry sees "a5" as "ALIVE"
    And "a5" has taken a higher incarnation

  Scenario: A node that was only slow refutes its failure
    Given 8 entries and 12 agents
    When "a5" is frozen for 9 seconds
    Then every entry sees "a5" as "DEAD"
    When the nodes run for 5 seconds
    Then every entry sees "a5" as "ALIVE"

  Scenario: An entry that was suspended for a minute suspects no node
    Given 8 entries and 12 agents
    When "e2" is frozen for 60 seconds
    And the nodes run for 3 seconds
    Then no node but "e2" had to refute a failure

  Scenario: A network partition heals without a message storm
    Given 8 entries and 12 agents
    When the nodes are partitioned into halves for 120 seconds
    Then each half sees the other as "DEAD"
    When the partition heals and 25 seconds pass
    Then every entry sees every node as "ALIVE"
    And fewer than 200 messages per node were sent after the partition

  Scenario: All agents restart at once
    Given 8 entries and 12 agents
    When all agents restart
    And the nodes run for 6 seconds
    Then every entry sees every node as "ALIVE"

  Scenario: An entry that has no configuration yet names no addresses
    Given an entry that has just started and knows two other entries
    Then it gives no address answer
    And with a bundle whose answers live for 1 s it lists both for 1 s
