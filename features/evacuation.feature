Feature: Evacuated data centres get no requests, until their evacuation is withdrawn

  Scenario: An acknowledged evacuation is missing at an entry
    Given a site with committed version 9
    When the evacuation is ordered at each control VM
    Then every entry has the data centre evacuated within 0.2 s
    When the withdrawal is ordered at each control VM
    Then no entry has the data centre evacuated within 0.2 s

  Scenario: An entry learns of an evacuation only from its next heartbeat
    Given a site with committed version 9
    When the leader acknowledges an evacuation
    Then every entry has the data centre evacuated within 0.05 s

  Scenario: The leader is killed between the commit and the acknowledgement
    Given a site with committed version 9
    When the leader is killed as it replies to the order sent to a follower
    Then the operator's resent order is acknowledged
    And every entry has the data centre evacuated within 0.2 s
    And the order can be withdrawn

  Scenario: The acknowledgement is lost and the order is resent elsewhere
    Given a site with committed version 9
    When the reply to the order at "c1" is lost on its way to the operator
    And the same order is sent to "c2"
    Then the operator's resent order is acknowledged
    And every entry has the data centre evacuated within 0.2 s

  Scenario: A follower's outdated number of orders makes a withdrawal fail
    Given a site with committed version 9
    And a follower that misses an evacuation
    When the withdrawal is ordered at that follower
    Then it is acknowledged
    And no entry has the data centre evacuated within 0.2 s

  Scenario: An order without a leader is refused for good
    Given a site with 3 control VMs of which only the first runs
    When an evacuation is sent to "c1"
    Then the operator is told to retry

  Scenario: An evacuation that two losses could destroy is acknowledged
    Given a site with 6 control VMs of which only three run
    When an evacuation is sent to "c1"
    Then the operator is told to retry
    And the three accept the evacuation 5 s later

  Scenario Outline: An acknowledged order is lost with the tolerated number of disks
    Then an acknowledged evacuation and withdrawal outlast the loss of <lost> of <controls> disks

    Examples:
      | lost | controls |
      | 1    | 3        |
      | 2    | 5        |
      | 2    | 6        |

  Scenario: An entry opens before it knows the evacuated data centres
    Given a site with committed version 9
    And an acknowledged evacuation
    When a new entry starts
    Then it knows the evacuation when it opens

  Scenario: After a power loss an entry opens without the evacuation
    Given a site with committed version 9
    And an acknowledged evacuation
    When all control VMs and entries lose power and start again
    Then each entry knows the evacuation when it opens

  Scenario: An order and its withdrawal at once leave entries divided
    Then orders and withdrawals at once leave one state on 20 drawn schedules

  Scenario: A copy delayed inside the system restores an order after its withdrawal
    Given a site with committed version 9
    When a copy of the order is delayed on its way to the leader
    And the order is resent and then withdrawn
    And the delayed copy arrives
    Then no entry has the data centre evacuated within 1.0 s

  Scenario: A delayed copy takes effect after a withdrawal that had nothing to withdraw
    Given a site with committed version 9
    When a copy of the order is delayed on its way to the leader
    And the operator withdraws it without an acknowledgement
    And the delayed copy arrives
    Then no entry has the data centre evacuated within 1.0 s

  Scenario: A control VM that was frozen during a call resends its order
    Given a site with committed version 9
    When the control VM of a call freezes before the leader has the order
    And the order is resent and then withdrawn
    And the frozen control VM continues
    Then no entry has the data centre evacuated within 2.0 s

  Scenario: An entry that hears nothing uses evacuated targets again
    Given a site with committed version 9
    And an acknowledged evacuation
    When "e1" is cut off from all control VMs for 10 s
    Then every entry has the data centre evacuated within 0.2 s

  Scenario: A delayed list replaces a newer one
    Given a site with committed version 9
    And an acknowledged evacuation
    When the evacuation is withdrawn and an entry gets the earlier list again
    Then no entry has the data centre evacuated within 0 s

  Scenario: Randomly drawn faults lose or revert an acknowledged order
    Then the last acknowledged order is in force after 30 drawn schedules

  Scenario: A snapshot or log from before this operation is unreadable
    Then a state without evacuations reads as none, and one with them as before

  Scenario: The records of evacuations grow without bound
    Then the state machine keeps at most 256 data centres

  Scenario Outline: An operator's call is misread
    When an operator sends "<method> <path>"
    Then the call is <call>

    Examples:
      | method | path                   | call                     |
      | POST   | /Drain.Create/z2       | an evacuation of "z2"    |
      | POST   | /Drain.Terminate/z2    | a withdrawal of "z2"     |
      | POST   | /Drain.Create/a%20b    | an evacuation of "a b"   |
      | GET    | /Drain.Create/z2       | refused with "not_found" |
      | POST   | /Drain.Create          | refused with "not_found" |

  Scenario Outline: An order for an unknown data centre is accepted, or one for a known refused
    Given a control VM with <settings> and <heard>
    When an operator orders the evacuation of "<place>"
    Then the status is <status> and the code "<code>"

    Examples:
      | settings       | heard               | place | status | code                |
      | the zones z1   | nothing             | z1    | 503    | not_confirmed       |
      | the zones z1   | nothing             | z9    | 404    | unknown_data_centre |
      | the zones z1   | a target in z2      | z2    | 503    | not_confirmed       |
      | the zones z1   | an entry in z3      | z3    | 503    | not_confirmed       |
      | no zones       | nothing             | z1    | 503    | not_confirmed       |
      | no zones       | a target in z2      | z9    | 404    | unknown_data_centre |

  Scenario Outline: The own page misreads an operator's request
    When the page of a control VM gets "<method> <target>"
    Then its answer is "<answer>"

    Examples:
      | method | target                                     | answer                              |
      | GET    | /evacuations                               | 200 {"revision":7,"evacuated":["z2"]} |
      | POST   | /evacuations?place=z2&order=create         | order z2 True                       |
      | POST   | /evacuations?place=z2&order=withdraw       | order z2 False                      |
      | POST   | /evacuations?place=z2&order=other          | 400                                 |
      | POST   | /evacuations?order=create                  | 400                                 |
      | PUT    | /evacuations?place=z2&order=create         | 405                                 |

  Scenario Outline: The settings' table of data centres is not read
    Then settings with <table> list the data centres "<places>"

    Examples:
      | table                     | places |
      | zones = {z1 = "r", z2 = "r"} | z1,z2  |
      | zones = {}                |        |
      | zones = 3                 |        |
      | region = "r"              |        |

  # Guards against a confirmation that leaves out the evacuated data centres.
  Scenario: An entry starts beside a control VM without the newest list
    Given a site with committed version 9
    And a control VM that gets heartbeats but no log entries
    When an entry starts that hears only this control VM
    Then no entry has let a request through without the newest list
    And the new entry serves nothing yet
    When the log entries arrive there
    Then no entry has let a request through without the newest list
    And the entry lets requests through with the newest list

  Scenario: An entry hears only a control VM without a disk
    Given a site whose control VM "c2" has no disk
    When an entry hears only "c2" while a data centre is evacuated
    Then no entry has let a request through without the newest list
    And the entry lets requests through with the newest list

  Scenario: A suspended entry awakes after a data centre was evacuated
    Given a site with committed version 9
    When an entry is suspended while a data centre is evacuated
    Then no entry has let a request through without the newest list
    And the entry lets requests through with the newest list
