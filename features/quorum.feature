Feature: The replicated log keeps every accepted entry

  Scenario: A leader is elected and entries reach every voter
    Given 3 voters
    When "one" and "two" are proposed
    Then every voter has applied "one" and "two"

  Scenario: An isolated leader loses its lease before another is elected
    Given 3 voters
    When the leader is cut off
    And 5 seconds pass
    Then another voter leads
    And the old leader accepts no proposal

  Scenario: A leader frozen for an hour has no effect when it thaws
    Given 3 voters
    When the leader is frozen
    And 3600 seconds pass in long steps
    And the frozen voter thaws
    Then the thawed voter accepts no proposal

  Scenario: A wiped voter does not vote under its old seat
    Given 3 voters
    When "one" and "two" are proposed
    And a follower loses its disk
    And the leader is killed
    And 10 seconds pass
    Then there is no leader

  Scenario: Wiped voters create no new log
    Given 3 voters
    When "one" and "two" are proposed
    And all voters lose their disks
    And 10 seconds pass
    Then there is no leader

  Scenario: The cluster survives two more losses after a lost voter is replaced
    Given 5 voters
    When "one" and "two" are proposed
    And a follower loses its disk
    And the lost voter gets a new seat
    And a follower is killed
    And a follower is killed
    And "three" and "four" are proposed
    Then every voter has applied "three" and "four"

  Scenario: A voter with a corrupt synced tail does not vote until caught up
    Given 3 voters
    When the leader is cut off from one follower
    And "one" and "two" are proposed
    And the other follower restarts with a damaged tail
    And the leader is killed
    And all partitions heal
    And 10 seconds pass
    Then there is no leader
    When the killed voter restarts
    And 5 seconds pass
    Then every voter has applied "one" and "two"

  Scenario: A planned stop transfers leadership at once
    Given 3 voters
    When the leader transfers its leadership
    And 1 seconds pass
    Then another voter leads

  Scenario: A follower far behind catches up from a snapshot
    Given 3 voters
    When a follower is killed
    And 300 entries are proposed and compacted
    And the killed voter restarts
    And 5 seconds pass
    Then every voter is at the same commit

  Scenario Outline: A fault at any action of a change loses no accepted entry
    Given 3 voters
    When each action of a change is interrupted by <fault>
    Then no accepted entry was lost

    Examples:
      | fault                 |
      | kill                  |
      | kill and disk loss    |
      | freeze                |
      | cut                   |
      | one-way cut           |
      | duplicates            |
      | reordering            |
      | loss                  |

  Scenario Outline: Safety rules of the log
    Then the safety rule holds: <rule>

    Examples:
      | rule                                     |
      | a wiped disk's vote does not count       |
      | a live leader is not deposed             |
      | a stale log gets no vote                 |
      | one vote per term                        |
      | only entries of the own term commit      |
      | transferring leadership ends the lease   |

  Scenario: Random schedules keep every invariant
    Then 40 random schedules of 60 events keep every invariant
