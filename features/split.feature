Feature: A control cluster that is partitioned into halves continues in one

  Scenario Outline: One half elects a leader and accepts configurations
    Given a site with <controls> control VMs of which <losses> may be lost
    When the control VMs are partitioned into halves for 6 s, in each of 20 ways
    Then each time one half elects a leader within 3 s and accepts a configuration
    And each time all of them have it 6 s after the partition

    Examples:
      | controls | losses |
      | 6        | 2      |
      | 8        | 2      |
      | 4        | 1      |

  Scenario Outline: A lost voter is replaced by a standby
    Given a site with <controls> control VMs of which <losses> may be lost
    When a voter is lost for good and 8 seconds pass
    Then there are <voters> voters again without it
    When as many more voters are lost as may be
    Then a configuration is accepted

    Examples:
      | controls | losses | voters |
      | 6        | 2      | 5      |
      | 8        | 2      | 5      |
      | 4        | 1      | 3      |

  Scenario Outline: All control VMs vote if there are no more than the wanted number
    Given a site with <controls> control VMs of which <losses> may be lost
    Then there are <controls> voters

    Examples:
      | controls | losses |
      | 3        | 1      |
      | 5        | 2      |
