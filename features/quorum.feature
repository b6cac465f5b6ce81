Feature: The replicated log keeps what it has accepted

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
    Then nobody leads

  Scenario: Wiped voters found no new log
    Given 3 voters
    When "one" and "two" are proposed
    And all voters lose their disks
    And 10 seconds pass
    Then nobody leads

  Scenario: A lost voter is replaced and a second loss right after is survived
    Given 5 voters
    When "one" and "two" are proposed
    And a follower loses its disk
    And the lost voter gets a new seat
    And a follower is killed
    And a follower is killed
    And "three" and "four" are proposed
    Then every voter has applied "three" and "four"

  Scenario: A voter whose synced tail was damaged has no say until caught up
    Given 3 voters
    When the leader is cut off from one follower
    And "one" and "two" are proposed
    And the other follower restarts with a damaged tail
    And the leader is killed
    And all cuts heal
    And 10 seconds pass
    Then nobody leads
    When the killed voter restarts
    And 5 seconds pass
    Then every voter has applied "one" and "two"

  Scenario: A planned stop hands the lead over at once
    Given 3 voters
    When the leader hands over
    And 1 seconds pass
    Then another voter leads

  Scenario: A follower far behind catches up by snapshot
    Given 3 voters
    When a follower is killed
    And 300 entries are proposed and compacted
    And the killed voter restarts
    And 5 seconds pass
    Then every voter is at the same commit

  Scenario Outline: Whatever fails at whichever action, nothing accepted is lost
    Given 3 voters
    When every action of a change is hit by <fault>
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

  Scenario Outline: Guard of the log
    Then the log's guard holds: <guard>

    Examples:
      | guard                                    |
      | a wiped disk's vote does not count       |
      | a live leader is not deposed             |
      | a stale log gets no vote                 |
      | one vote a term                          |
      | own term before commit                   |
      | handing over ends the lease              |

  Scenario: Random schedules keep every invariant
    Then 40 random schedules of 60 events keep every invariant
