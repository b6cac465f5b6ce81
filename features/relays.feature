Feature: Large orders are relayed within each data centre

  Scenario: A large order is sent once to each other data centre
    Given a leader with 6 agents in its data centre and 12 in each of 3 others
    When it sends a large order to all of them
    Then 6 orders go to agents and 3 to relays
    And the relays forward 36 unchanged orders that name the leader

  Scenario Outline: Orders that are sent without a relay
    Given a leader with 6 agents in its data centre and <near> in each of 3 others
    When it sends a <size> order to all of them with <relays> known relays
    Then <direct> orders go to agents and <relayed> to relays

    Examples:
      | near | size  | relays | direct | relayed |
      | 12   | small | 3      | 42     | 0       |
      | 12   | large | 2      | 18     | 2       |
      | 12   | large | 0      | 42     | 0       |
      | 3    | large | 3      | 15     | 0       |

  Scenario: An order lost at a relay is sent again to the agent itself
    Given a group of 4 engines whose relays are lost
    When 6 seconds pass at the group
    Then the group has switched its map
    And no pass has begun on two maps

  Scenario: A damaged relayed order is rejected
    When a control VM receives a damaged relayed order
    Then a frame error is raised and nothing is sent
