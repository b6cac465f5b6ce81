Feature: Large orders go once to each data centre and are passed on there

  Scenario: A large order goes to each other data centre once
    Given a leader with 6 agents in its data centre and 12 in each of 3 others
    When it has a large order for all of them
    Then it sends 6 orders to agents and 3 to control VMs
    And these pass on 36 orders that name the leader, as they were given

  Scenario Outline: Orders that go to each agent itself
    Given a leader with 6 agents in its data centre and <near> in each of 3 others
    When it has a <size> order for all of them, and <relays> control VMs are heard
    Then it sends <sent> orders to agents and <passed> to control VMs

    Examples:
      | near | size  | relays | sent | passed |
      | 12   | small | 3      | 42   | 0      |
      | 12   | large | 2      | 18   | 2      |
      | 12   | large | 0      | 42   | 0      |
      | 3    | large | 3      | 15   | 0      |

  Scenario: An order that nobody passed on is sent again to the agent itself
    Given a group of 4 engines whose orders go by control VMs that are lost
    When 6 seconds pass at the group
    Then the group has switched its map
    And no pass has begun on two maps

  Scenario: A relayed order that cannot be read passes nothing on
    When a control VM gets a relayed order whose content is damaged
    Then it is counted as an error and nothing is sent
