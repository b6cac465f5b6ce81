Feature: Requests that crash targets are quarantined

  Scenario: All entries learn of a quarantine within a tenth of a second
    Given 103 entries in 5 data centres with 5 control VMs
    When two targets crash under a request at two entries
    Then every entry quarantines it 0.1 s after the second check
    And the processes exchange less than 100 KB in all

  Scenario: A restarted entry receives the marks of the others
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets crash under a request at two entries
    And an entry restarts
    Then every entry quarantines it within 2 s

  Scenario: Marks of lost messages are sent again
    Given 6 entries in 3 data centres with 3 control VMs
    And 3 of 10 messages are lost
    When two targets crash under a request at two entries
    Then every entry quarantines it within 8 s

  Scenario: Marks reach entries without a path to the first entry
    Given 6 entries in 1 data centres with 3 control VMs
    And the first entry reaches one control VM and no entry
    When two targets crash under a request at the first entry
    Then every entry quarantines it within 2 s

  Scenario: The entry that recorded the second crash dies with its marks
    Given 6 entries in 3 data centres with 3 control VMs
    When a target crashes under a request at two entries, and the second dies
    Then no entry quarantines it after 3 s
    When a target crashes under it at a third entry
    Then every entry quarantines it within 2 s

  Scenario: All control VMs restart and receive the marks of the entries
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets crash under a request at two entries
    And all control VMs restart, and then an entry
    Then every entry quarantines it within 6 s

  Scenario: Requests that ran beside it are not quarantined
    Given 6 entries in 3 data centres with 3 control VMs
    When a request crashes targets with 5 others beside it each time
    Then every entry quarantines it within 2 s
    And none of the others is quarantined

  Scenario: Several such requests at once are distinguished
    Given 6 entries in 3 data centres with 3 control VMs
    When 4 requests crash targets at random entries for 10 s
    Then each of them has crashed at most 3 targets

  Scenario: A complete answer ends the quarantine of a request
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets crash under a request at two entries
    And a third entry receives a complete answer to it that was under way
    Then no entry quarantines it after 1 s
    When two targets crash under a request at two entries
    Then every entry quarantines it within 2 s

  Scenario: A target that answers again has not crashed
    Given a ledger with 2 crashes under a request 10 s ago
    When one of the targets answers a request sent 11 s ago
    Then the request is quarantined
    When one of the targets answers a request sent 1 s ago
    Then the request is not quarantined

  Scenario: A quarantine is longer each time, and expires in the end
    Given a ledger with 2 crashes under a request 0 s ago
    Then the request is quarantined for 600 s
    When 601 s pass
    Then the request is not quarantined
    When a further target crashes under it
    Then the request is quarantined for 1200 s
    When 2401 s pass
    Then the ledger is empty

  Scenario: A request answered completely after many crashes can still be quarantined
    Given a ledger with 2 crashes under a request 1 s ago
    When 20 more targets crash under it, each followed by a complete answer
    Then the request is not quarantined
    When 2 further targets crash under it
    Then the request is quarantined

  Scenario: An operator lifts a quarantine
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets crash under a request at two entries
    And an operator lifts its quarantine at one entry
    Then no entry quarantines it after 1 s

  Scenario: Many different requests neither fill the memory nor end a quarantine
    Given a ledger with 2 crashes under a request 1 s ago
    When 10000 other requests crash a target each
    Then the ledger holds 512 requests
    And the request is quarantined

  Scenario: A body is hashed only if the rest of the request matches a recorded one
    Given a forwarder with a recorded request with a body of 1000 bytes
    When 50 requests with other paths or sizes arrive
    Then no body was hashed
    When a request with the same path and size and another body arrives
    Then its body was hashed, and it was sent

  Scenario Outline: What identifies a request
    Then a request that differs in its <part> is <same>

    Examples:
      | part     | same      |
      | path     | another   |
      | query    | another   |
      | body     | another   |
      | method   | another   |
      | customer | another   |
      | header   | the same  |

  Scenario: A quarantined request is refused with its own code
    Given a forwarder that has quarantined a request
    When it arrives
    Then it is answered 503 with code 2009 and a Retry-After
    And no target has received it

  Scenario: A waiting request is refused once it is quarantined
    Given a forwarder with a request that waits for a slot
    When others report two crashes under it
    Then it is answered 503 with code 2009 and a Retry-After

  Scenario Outline: Only a crash of a target counts
    Given a target that <does> when it gets a request
    Then <count> crashes are recorded after the check

    Examples:
      | does                   | count |
      | crashes                | 1     |
      | closes the connection  | 0     |
      | drains and crashes     | 0     |

  Scenario Outline: A target that doesn't answer the check has crashed once it is replaced
    Given a target that doesn't answer the check after a connection broke
    When <event> <seconds> s later
    Then <count> crashes are recorded after the check

    Examples:
      | event                                   | seconds | count |
      | nothing is announced                    | 2       | 0     |
      | another incarnation is at its address   | 2       | 1     |
      | another service is at its address       | 2       | 0     |
      | another incarnation is at its address   | 11      | 0     |

  Scenario: Random schedules of several such requests and of failures
    Then in 300 random schedules no request is sent more than 3 times after its quarantine

  Scenario: An agent counts a crash of an engine once for all runs that it broke
    Given an agent whose engine crashes, restarts and crashes again
    Then two runs broken by the first crash are reported with number 1
    And a run broken by the second crash is reported with number 2
    And a run whose answer was cut while the engine listens is reported with number 0

  Scenario: An engine that crashes on each request is reported with a new number each time
    Given an agent whose engine crashes, restarts and crashes again
    Then runs broken by 3 crashes without an answer in between have numbers 1 to 3

  Scenario: A denial after an attempt doesn't report that nothing ran
    Given a request of the native interface that an engine may have begun
    When it is denied before its retry because engines crashed under it
    Then its caller receives code 3001
    And one that is denied before its first attempt receives code 2009

  Scenario: Marks with arbitrary values don't break a ledger
    Then 300 random lists of marks leave ledgers that agree, are bounded and expire

  Scenario: Invalid frames are rejected
    Then 300 random frames of every kind are decoded or rejected

  Scenario Outline: Crashes with a common cause count once
    Given runs of a request that began <begun> s ago on 6 targets
    When these crash within 0.1 s of each other <ago> s ago
    Then the request is not quarantined
    When a further target crashes under a run that began <later> s ago
    Then the request is <outcome>

    Examples:
      | begun | ago | later | outcome         |
      | 2     | 1   | 0.5   | quarantined     |
      | 2     | 1   | 1.5   | not quarantined |
      | 1.5   | 1   | 0.9   | quarantined     |

  Scenario: A retry that crashes its target right after the first attempt counts
    Given runs of a request that began 1 s ago on 1 targets
    When these crash within 0.1 s of each other 0.9 s ago
    And a further target crashes under a run that began 0.8 s ago
    Then the request is quarantined

  Scenario: A retry on a target that crashes at the same moment doesn't count
    Given runs of a request that began 1 s ago on 3 targets
    When these crash within 0.1 s of each other 0.6 s ago
    And a further target crashes under a run that began 0.58 s ago, 0.5 s ago
    Then the request is not quarantined
    When a further target crashes under a run that began 0.4 s ago
    Then the request is quarantined

  Scenario: More simultaneous crashes than are kept don't hide later ones
    Given runs of a request that began 2 s ago on 40 targets
    When these crash within 0.1 s of each other 1 s ago
    Then the request is not quarantined
    When a further target crashes under a run that began 0.5 s ago
    Then the request is quarantined
