Feature: Fewer voters than wanted lose no acknowledged version and have one leader

  Scenario: Voters that answer all hold an acknowledged version
    Given 3 control VMs with a disk, and 5 voters wanted
    When a follower's answers are lost, and a version is sent
    Then it is not acknowledged within 1 s
    And it is acknowledged within 5 s

  Scenario: A power loss with two of three disks lost recovers
    Given 3 control VMs with a disk, and 5 voters wanted
    When a version is acknowledged, all lose power, and c1 and c2 lose their disks
    Then c3 leads within 8 s
    And the version is read everywhere

  Scenario: A survivor that is cut off from the others does not lead
    Given 3 control VMs with a disk, and 5 voters wanted
    When a version is acknowledged, and all lose power
    And c3 is cut off from c1 and c2
    Then c3 does not lead within 10 s
    And the version is read everywhere after the partition

  Scenario: A survivor that cannot reach the wiped VMs does not lead
    Given 3 control VMs with a disk, and 5 voters wanted
    When a version is acknowledged, all lose power, and c1 and c2 lose their disks
    And c3 is cut off from c1 and c2
    Then c3 does not lead within 10 s
    And the version is read everywhere after the partition

  Scenario: A lost disk and a disk out of reach leave no leader
    Given 3 control VMs with a disk, and 5 voters wanted
    When a version is acknowledged, all lose power, and c1 loses its disk
    And c3 is cut off from c2
    And c1 is cut off from c2
    Then c3 does not lead within 10 s
    And the version is read everywhere after the partition

  Scenario: Of two survivors neither leads without the other
    Given 4 control VMs with a disk, and 5 voters wanted
    When a version is acknowledged, all lose power, and c1 and c2 lose their disks
    And c4 stays down
    Then c3 does not lead within 10 s
    And the version is read everywhere after c4 starts

  Scenario: A stale voter does not lead while an entry has a newer version
    Given 3 control VMs with a disk, and 5 voters wanted
    When c3 is down, a version is acknowledged, and c1 and c2 lose their disks
    And c3 starts
    Then c3 does not lead within 10 s

  Scenario: A VM that a voter has not heard of is not promoted
    Given 3 control VMs with a disk, and 5 voters wanted
    When c3 is down, and c4 with a disk starts
    Then c4 is no voter after 6 s
    And c4 is a voter 6 s after c3 starts

  Scenario Outline: What proves no loss of a disk
    Then it is no proof: <what>

    Examples:
      | what                                              |
      | requests that repeat no number                    |
      | requests that repeat the same number              |
      | requests within less than a second                |
      | requests of a disk that has met a leader          |
      | requests of the seat's own disk                   |
      | requests that ended some seconds ago              |
      | requests of ever other disks                      |
      | requests before a message of the seat's own disk  |

  Scenario: With proof of two lost disks a learner's vote is still needed
    Then a voter leads only with the vote of a learner whose disk is not lost

  Scenario: A recovery starts no term twice
    Then a recovering voter skips the terms that lost disks may have used

  Scenario Outline: The loss of a whole data centre leaves a majority
    Given control VMs with <disks> disks in three data centres, and 5 voters wanted
    Then 5 of them vote, and no data centre has a majority
    And there is a leader after the loss of any data centre

    Examples:
      | disks |
      | 3+3+3 |
      | 3+1+1 |
      | 2+2+2 |

  Scenario: With as many disks as wanted nothing waits for a silent voter
    Given 5 control VMs with a disk, and 5 voters wanted
    When a follower's answers are lost, and a version is sent
    Then it is acknowledged within 1 s
    And the log has never been reduced

  Scenario: Drawn disks, data centres and losses lose no acknowledged version
    Then 24 drawn schedules of losses within the tolerance lose nothing

  Scenario Outline: Wiped VMs that restart before the leader notices are never proved lost
    Given 3 control VMs with a disk, and 5 voters wanted
    When both followers lose their disks and start again within <down> s
    Then the next version is acknowledged within 10 s

    Examples:
      | down |
      | 0.1  |
      | 0.3  |
      | 2    |

  Scenario: A wiped voter delays the first acknowledgement after a power loss
    Given 5 control VMs with a disk, and 5 voters wanted
    When a version is acknowledged, all lose power, and c1 and c2 lose their disks
    Then the next version is committed within 1.5 s
    And it is acknowledged once the confirmations of earlier leaders have expired

  Scenario Outline: Seeds without a disk keep a configuration from being accepted
    Given 9 control VMs of which <disks> have a disk, and 5 voters wanted
    Then the first version is acknowledged within 12 s

    Examples:
      | disks    |
      | c1       |
      | c4,c5    |
      | c1,c4,c7 |
