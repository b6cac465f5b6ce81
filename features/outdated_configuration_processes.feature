@real-processes
Feature: Entries serve no outdated version, with real processes

  # Guards against readiness on the word of control VMs that are behind.
  Scenario: An entry that starts beside an outdated control VM refuses requests
    Given three VMs with control and entry, and a target of each of two services
    When version 8 moves a route while the third control VM is down
    And only the third control VM and its entry start again
    Then requests there are refused and reach no target for 4 s
    When the other control VMs start again
    Then requests there are served as version 8 says
