Feature: Bundles are signed off, rolled and withdrawn, and never revert

  Scenario: Of two operators with the same parent one wins and one is told
    Given a registry with the example bundle in force
    When two operators sign off different changes on the same parent
    Then one is accepted and the other is told "STALE_PARENT"

  Scenario: A resent order gets the first answer, also after a compaction
    Given a registry with the example bundle in force
    When an order is resent after other orders and a compaction
    Then it gets the first answer again and nothing was applied twice

  Scenario: An operation id used for something else is refused
    Given a registry with the example bundle in force
    When an operation id is used again for another change
    Then the answer is "OP_ID_REUSED"

  Scenario: Content that does not match its hash is refused
    Given a registry with the example bundle in force
    When a change is tampered with on its way
    Then the answer is "HASH_MISMATCH"

  Scenario: A wrong bundle is refused with the reason
    Given a registry with the example bundle in force
    When a bundle names a place that does not exist
    Then the answer is "BAD_BUNDLE"

  Scenario: A withdrawal is a new, higher version with the old content
    Given a registry with the example bundle in force
    When a second version is rolled and then withdrawn
    Then every place is at version 3 with the content of version 1
    And the withdrawn version cannot be rolled again

  Scenario: A node that missed hundreds of changes receives each key once
    Given a registry with the example bundle in force
    When 500 changes are made while a node is away
    Then one delta of at most 6 keys brings the node to the newest state

  Scenario: A node keeps its version when a delta is old, foreign or damaged
    Given a registry with the example bundle in force
    And a node that has the newest state
    Then an old delta changes nothing
    And a delta of another log changes nothing
    And a lower pointer leaves the version in force
    And a damaged delta leaves the version in force

  Scenario: A node below its floor does not serve
    Given a registry with the example bundle in force
    And a node that has the newest state
    Then the node serves only once it knows a floor that it has reached

  Scenario: A roll goes from place to place, gated on the nodes there
    Given a registry with the example bundle in force
    When a second version is rolled and the nodes of one place lag
    Then the roll waits there and goes on when they have caught up

  Scenario: A roll halts when the error budget burns
    Given a registry with the example bundle in force
    When a second version is rolled and the first place burns its budget
    Then the roll is halted with the reason and no further place is reached

  Scenario: Settings report every error at once
    Then wrong settings are reported with file, section, key, found, allowed

  Scenario Outline: The shipped examples are right
    Then the example "<name>" is a valid bundle with 3 places

    Examples:
      | name     |
      | souss    |
      | notograf |
