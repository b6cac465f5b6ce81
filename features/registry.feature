Feature: Bundles are signed off, rolled and withdrawn, and never revert

  Scenario: Of two sign-offs on the same parent one is accepted
    Given a registry with the example bundle applied
    When two operators sign off different changes on the same parent
    Then one is accepted and the other is refused with "STALE_PARENT"

  Scenario: A resent operation gets the first answer, even after a compaction
    Given a registry with the example bundle applied
    When an operation is resent after other operations and a compaction
    Then it gets the first answer and is not applied again

  Scenario: A reused operation ID is refused
    Given a registry with the example bundle applied
    When an operation ID is reused for another change
    Then the answer is "OP_ID_REUSED"

  Scenario: Content that does not match its hash is refused
    Given a registry with the example bundle applied
    When a change does not match its content hash
    Then the answer is "HASH_MISMATCH"

  Scenario: An invalid bundle is refused
    Given a registry with the example bundle applied
    When a bundle names a place that does not exist
    Then the answer is "BAD_BUNDLE"

  Scenario: A withdrawal adds a higher version with the old content
    Given a registry with the example bundle applied
    When a second version is rolled and then withdrawn
    Then every place is at version 3 with the content of version 1
    And the withdrawn version cannot be rolled again

  Scenario: A node that missed hundreds of changes receives each key once
    Given a registry with the example bundle applied
    When 500 changes are made while a node is disconnected
    Then one delta of at most 6 keys brings the node up to date

  Scenario: A node ignores deltas that are old, corrupt or of another log
    Given a registry with the example bundle applied
    And a node that is up to date
    Then an old delta changes nothing
    And a delta of another log changes nothing
    And a lower version pointer does not change the version
    And a corrupt delta does not change the version

  Scenario: A node below its minimum revision does not serve
    Given a registry with the example bundle applied
    And a node that is up to date
    Then the node serves only after it reaches its minimum revision

  Scenario: A roll waits for the nodes of a place before it continues
    Given a registry with the example bundle applied
    When a second version is rolled and the nodes of one place lag
    Then the roll waits there and continues when they have caught up

  Scenario: A roll halts when the error budget burns too fast
    Given a registry with the example bundle applied
    When a second version is rolled and the first place burns its budget
    Then the roll halts with the reason and reaches no further place

  Scenario: All settings errors are reported at once
    Then invalid settings are reported with file, section, key, found, allowed

  Scenario Outline: The example bundles are valid
    Then the example "<name>" is a valid bundle with 3 places

    Examples:
      | name     |
      | souss    |
      | notograf |
