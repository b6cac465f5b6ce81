Feature: After the loss of everything callers are served again soon

  Scenario: A VM that starts a little later than others is found soon after
    Given 6 VMs that are dark for 0.4 s when others look for them
    When they are looked for as by default, and without opening anew
    Then by default they are found in less than 0.6 of the time

  Scenario Outline: The lead is taken soon after all voters have started again
    Given <count> voters that lose power and start again within 0.15 s, 60 times
    Then at the median one leads within 0.65 s of the last start
    And never later than 1.2 s after it

    Examples:
      | count |
      | 3     |
      | 5     |
      | 6     |

  Scenario: The lead is taken soon though whoever led before has lost its disk
    Given 5 voters that start again, and whoever led has lost its disk, 60 times
    Then at the median one leads within 0.65 s of the last start
    And never later than 1.2 s after it

  Scenario: A voter that has just started deposes no leader whom it promised a lease
    Given 3 voters of which one does not hear the leader, and the other starts anew, 200 times
    Then no two of them held a lease at the same time
