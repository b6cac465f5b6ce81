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

  Scenario Outline: An entry that is deaf to <whom> has a version in force in time
    Given three VMs with control and entry, and a target of each of two services
    And the third entry is deaf to <whom>
    When version 8 moves a route, adds one and a key, drops one and revokes a key
    Then each entry decides as version 8 says 2 s after its acknowledgement

    Examples:
      | whom                       |
      | nobody                     |
      | the leader                 |
      | one control VM             |
      | all but one control VM     |

  Scenario Outline: <what> start again right after an acknowledgement
    Given three VMs with control and entry, and a target of each of two services
    When version 8 moves a route, adds one and a key, drops one and revokes a key
    And <what> are killed and start again
    Then no request there is decided as only version 7 says
    And each entry decides as version 8 says 12 s later

    Examples:
      | what                            |
      | the third entry                 |
      | the third entry and control VM  |
      | all entries and control VMs     |

  # The entries run on, so the core must be stable for twice 3 s again.
  Scenario: All control VMs start again right after an acknowledgement
    Given three VMs with control and entry, and a target of each of two services
    When version 8 moves a route, adds one and a key, drops one and revokes a key
    And the control VMs are killed and start again
    Then each entry decides as version 8 says 6 s later

  Scenario: An entry on a new VM
    Given three VMs with control and entry, and a target of each of two services
    When version 8 moves a route, adds one and a key, drops one and revokes a key
    And the fourth entry starts
    Then no request there is decided as only version 7 says

  # Guards against requests that wait in the sockets of a suspended entry.
  Scenario: A suspended entry decides nothing by the version it had
    Given three VMs with control and entry, and a target of each of two services
    When the third entry is suspended while version 8 is acknowledged
    And 20 requests wait for it when it wakes 4 s later
    Then no request there is decided as only version 7 says

  Scenario: An entry with a slow link
    Given three VMs with control and entry, and a target of each of two services
    And the third entry gets all messages 0.2 s late
    When version 8 moves a route, adds one and a key, drops one and revokes a key
    Then each entry decides as version 8 says 2 s after its acknowledgement

  Scenario: Requests on kept connections
    Given three VMs with control and entry, and a target of each of two services
    And a connection to each entry on which a request was served
    When version 8 moves a route, adds one and a key, drops one and revokes a key
    Then requests on these connections are decided as version 8 says 2 s after its acknowledgement

  # Guards against requests that wait and are sent by the version of their arrival.
  Scenario: Resumed streams that wait while their route moves
    Given three VMs with control and entry, and a target of each of two services
    When 2 resumed streams wait at each entry while version 8 moves their route
    Then all of them are run by the new service

  # Guards against an entry that goes on because the leader is silent.
  Scenario: The leader falls silent in the moment of its acknowledgement
    Given three VMs with control and entry, and a target of each of two services
    And links between control VMs that can be cut
    When the leader acknowledges version 8, falls silent, and nobody is elected
    Then no entry decides as only version 7 says later than 2 s after that
    When the leader is heard again
    Then each entry decides as version 8 says 6 s later

  # Guards against an entry that takes slow answers for a cut.
  Scenario: The answers of all control VMs are late while a key is revoked
    Given three VMs with control and entry, and a target of each of two services
    And a connection to each entry on which a request was served
    When answers to the entries become 2.5 s late and version 8 is acknowledged
    Then requests on these connections are not decided as only version 7 says later than 2 s after that
    When the answers are on time again
    Then each entry decides as version 8 says 6 s later
