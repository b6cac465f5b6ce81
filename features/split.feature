Feature: A core that is cut into halves goes on in one of them

  Scenario Outline: One half leads and takes in configurations
    Given a site with <controls> control VMs of which <losses> may be lost
    When the control VMs are cut into halves for 6 s, in each of 20 ways
    Then each time one half has led within 3 s and taken in a configuration
    And each time all of them have it 6 s after the cut

    Examples:
      | controls | losses |
      | 6        | 2      |
      | 8        | 2      |
      | 4        | 1      |

  Scenario Outline: A voter that is lost is replaced by one that stood by
    Given a site with <controls> control VMs of which <losses> may be lost
    When a voter is lost for good and 8 seconds pass
    Then there are <voters> voters again without it
    When as many more are lost as may be
    Then a configuration is taken in

    Examples:
      | controls | losses | voters |
      | 6        | 2      | 5      |
      | 8        | 2      | 5      |
      | 4        | 1      | 3      |

  Scenario Outline: Where there are no more control VMs than are wanted all vote
    Given a site with <controls> control VMs of which <losses> may be lost
    Then there are <controls> voters

    Examples:
      | controls | losses |
      | 3        | 1      |
      | 5        | 2      |
