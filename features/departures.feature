Feature: What is acknowledged to a target that leaves survives every loss

  # Guards against a target that is used again after all processes were killed.
  Scenario Outline: A target that was acknowledged to leave stays so
    Given a site of 3 control VMs with a ready target, whose soft state was saved
    When the target <leaves> and <control> acknowledges it
    And <loss>
    Then no control VM or entry lists the target as ready from 3 seconds on

    Examples:
      | leaves               | control      | loss                                        |
      | deregisters          | a follower   | all processes are killed at once            |
      | deregisters          | the leader   | all processes are killed at once            |
      | reports that it leaves | a follower | all processes are killed at once            |
      | reports that it leaves | the leader | all processes are killed at once            |
      | deregisters          | a follower   | all are killed and the leader's disk is lost |
      | deregisters          | the leader   | all are killed and the leader's disk is lost |
      | reports that it leaves | the leader | all are killed and the leader's disk is lost |

  # Guards against an acknowledgement of what only one process holds.
  Scenario Outline: Without a majority nothing is acknowledged, but entries know
    Given a site of 3 control VMs with a ready target, whose soft state was saved
    When two control VMs are down and the target <leaves>
    Then it gets no acknowledgement, and no entry that is in touch uses it

    Examples:
      | leaves                 |
      | deregisters            |
      | reports that it leaves |

  # Guards against an acknowledgement of a repeated call whose record was lost.
  Scenario: A repeated report is acknowledged only once it is recorded
    Given a site of 3 control VMs with a ready target, whose soft state was saved
    When two control VMs are down and the target reports that it leaves
    And it reports so again
    Then it gets no acknowledgement, and no entry that is in touch uses it

  # Guards against an earlier start of a target that returns after a loss.
  Scenario: An earlier start that was deregistered stays gone under a reused id
    Given a site of 3 control VMs with a target started at 100, whose soft state was saved
    When it starts again at 200, and its start at 100 deregisters
    And all processes are killed at once
    Then no control VM or entry lists the start at 100 as ready from 3 seconds on

  # Guards against a later start that is held for the one that is gone.
  Scenario: A later start is ready though the earlier one is recorded as gone
    Given a site of 3 control VMs with a target started at 100, whose soft state was saved
    When the target deregisters and a follower acknowledges it
    And all processes are killed at once
    And it starts again at 200
    Then every entry uses the start at 200

  # Guards against one synced write for each of many targets that leave at once.
  Scenario: Targets that leave at once share entries of the log
    Given a site of 3 control VMs with 40 ready targets
    When all of them deregister at once
    Then all are acknowledged within 1 second by at most 8 entries of the log

  # Guards against records that fill memory and disk.
  Scenario: The number of recorded departures is bounded
    When 1500 departures are applied, 100 of them 11 minutes before the others
    Then the newest 1024 are held

  # Guards against a departure that is lost in some order of faults.
  Scenario: What was acknowledged holds in drawn histories
    When targets leave during 25 drawn histories of kills and restarts
    Then every acknowledged departure is known at all control VMs afterwards

  # Guards against a crashed target that counts as fresh after a restart.
  Scenario: A target that was known before a restart needs a heartbeat
    Given a site of 3 control VMs with a ready target, whose soft state was saved
    When all processes are killed at once
    Then every entry uses the target after 3 seconds and none after 12
