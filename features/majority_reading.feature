Feature: An entry that reaches a majority of the voters acts on no older version

  # Guards against an entry that goes on because the leader is silent.
  Scenario: A version was committed before its leader fell silent
    Given a site with committed version 9
    When version 12 is committed by a leader that falls silent, and nobody is elected
    Then no entry lets a request through by version 9 later than 2 s after that
    And all entries have version 12 soon after the leader is heard again

  Scenario: An evacuation was acknowledged before its leader fell silent
    Given a site with committed version 9
    When an evacuation is acknowledged by a leader that falls silent, and nobody is elected
    Then no entry lets a request through by version 9 later than 2 s after that

  Scenario: Nothing newer is in the log while nobody leads
    Given a site with committed version 9
    When the leader falls silent and nobody is elected for 4 s
    Then all entries serve by version 9 and deny what it does not allow

  # Guards against an entry that is stopped by what was never committed.
  Scenario: A version that only a minority has recorded stops no entry
    Given a site with committed version 9
    When only the leader records version 12, falls silent, and nobody is elected for 4 s
    Then all entries serve by version 9 and deny what it does not allow

  Scenario: An entry that reaches less than a majority goes on
    Given a site with committed version 9
    When version 12 is committed by a leader that falls silent, and nobody is elected
    And the entries reach only one of the voters for 4 s
    Then all entries serve by version 9, unconfirmed

  # The leader's connections are closed, those to the others are open.
  Scenario: An entry that is connected to a majority and gets no answer waits for it
    Given a site with committed version 9
    When version 12 is committed by a leader that falls silent, and nobody is elected
    And one of the other voters does not answer the entries for 4 s
    Then all entries reject requests by version 9, unanswered

  # Guards against an entry that takes slow answers for a cut.
  Scenario Outline: Voters that answer <late> s late are not taken for cut off
    Given a site with committed version 9
    When version 12 is committed while answers to entries are <late> s late
    Then no entry lets a request through by version 9 later than 2 s after that

    Examples:
      | late |
      | 0.5  |
      | 1.8  |
      | 2.2  |
      | 2.5  |
      | 3.5  |
      | 5.0  |

  Scenario: An entry whose connections to a majority are closed goes on
    Given a site with committed version 9
    When the entries are cut off from two of three voters for 4 s
    Then all entries serve by version 9, unconfirmed

  # Guards against counting voters that have been replaced.
  Scenario: The voters that count are those that have replaced others
    Given a site with committed version 9
    When two of three voters are replaced, one after the other
    And version 12 is committed while answers to entries are 3.5 s late
    Then no entry lets a request through by version 9 later than 2 s after that

  Scenario: Entries that start while nobody leads are ready by what a majority has
    Given a site with committed version 9
    When the leader falls silent and nobody is elected for 4 s
    And a new entry starts
    And 1 seconds pass at the site
    Then the new entry lets requests through by version 9

  # Guards against votes of disks that may lack what was acknowledged.
  Scenario Outline: What a voter says is not counted if <what>
    Given an entry with version 9 that asks three voters
    When two voters answer that their logs hold version 9, the second <what>
    Then no majority has answered

    Examples:
      | what                                      |
      | with another disk than its seat has       |
      | and may lack entries that it had synced   |
      | and it has lost its vote                  |
      | to a question of an earlier process       |
      | to a question of 1.5 s before             |

  # Guards against a majority of voters that have been replaced.
  Scenario: The seats are those of the newest log that answers
    Given an entry with version 9 that asks three voters
    When two voters answer, one by newer seats of which the other has none
    Then no majority has answered

  Scenario: A newer log with a newer version makes the version held uncertain
    Given an entry with version 9 that asks three voters
    When two voters answer that their logs hold version 9, one of them version 12 as well
    Then a majority has answered and version 9 may be outdated

  Scenario: A majority is enough, whatever a third voter has recorded
    Given an entry with version 9 that asks three voters
    When three voters answer that their logs hold version 9, one of them version 12 as well
    Then a majority has answered and version 9 is the newest

  # Guards against evacuations that are in the log and not in force.
  Scenario: A newer list of evacuated data centres makes the list held uncertain
    Given an entry with version 9 that asks three voters
    When two voters answer that their logs hold version 9, one of them a newer list of evacuations
    Then a majority has answered and version 9 may be outdated

  Scenario: A reading is as old as the oldest question that it needs
    Given an entry with version 9 that asks three voters
    When answers to questions of 100.0 s, 100.4 s and 100.8 s say that the logs hold version 9
    Then version 9 is the newest as of 100.4 s

  # Guards against an entry that counts time in which it was not scheduled.
  Scenario: An entry that was not scheduled waits for answers that are in its sockets
    Given an entry with version 9, confirmed at 100 s
    When it asks in vain until 101.3 s and is scheduled again at 102.2 s
    Then an allowed request at 102.2 s is held and a denial is held

  # Guards against a log without a trace of who was silent.
  Scenario: A change of standing is logged with the silence of each control VM
    When an entry that last heard "c1" 2 s and "c2" 0.1 s ago becomes unconfirmed
    Then the log says so once, with both

  # Guards against a record that ends before the data centre of the late entry.
  Scenario Outline: The leader warns of entries that lack a version
    Given a site of which one entry <state>
    When version 12 is committed and <seconds> s pass
    Then the leader's log <warns>

    Examples:
      | state                                  | seconds | warns                       |
      | hears nothing from control VMs         | 1.2     | warns of that entry         |
      | hears nothing from control VMs         | 0.8     | warns of no entry           |
      | hears all                              | 1.2     | warns of no entry           |
      | ended 4 s before                       | 1.2     | warns of no entry           |
