Feature: What a decision is derived from is kept only while its inputs are the same

  Scenario Outline: A group is chosen by targets, groups or entries of before
    Given <entries> entries and two groups of 16 ranks
    When targets, groups and entries change at random 400 times
    Then after each change the candidates are those that a new entry finds

    Examples:
      | entries |
      | 8       |
      | 30      |

  Scenario: The sums of the reported loads drift from the last reports
    Given a balancer and 12 peers
    When 600 reports arrive at random, some late, some of peers that leave
    Then after each report the load of each target is that of the last reports

  Scenario: A queue that has emptied stays in the load reports
    Given the queues of an entry
    When requests of two services are queued and removed at random 300 times
    Then after each tick the load report has the queues of that moment
