Feature: What processes remember of requests under which targets end

  Scenario: Entries that have not seen it know within a tenth of a second
    Given 103 entries in 5 data centres with 5 control VMs
    When two targets end under a request at two entries
    Then every entry keeps it from targets 0.1 s after the second check
    And that took less than 100 KB between all of them

  Scenario: An entry that starts again learns what the others know
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets end under a request at two entries
    And an entry starts again
    Then every entry keeps it from targets 2 s later

  Scenario: Lost messages are made up for
    Given 6 entries in 3 data centres with 3 control VMs
    And 3 of 10 messages are lost
    When two targets end under a request at two entries
    Then every entry keeps it from targets 8 s later

  Scenario: An entry without a path to the one that saw it learns all the same
    Given 6 entries in 1 data centres with 3 control VMs
    And the first entry reaches one control VM and no entry
    When two targets end under a request at the first entry
    Then every entry keeps it from targets 2 s later

  Scenario: The entry that saw the second end dies with what it knew
    Given 6 entries in 3 data centres with 3 control VMs
    When a target ends under a request at two entries, and the second dies
    Then no entry keeps it from targets 3 s later
    When a target ends under it at a third entry
    Then every entry keeps it from targets 2 s later

  Scenario: All control VMs start again and learn from the entries
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets end under a request at two entries
    And all control VMs start again, and then an entry
    Then every entry keeps it from targets 6 s later

  Scenario: What ran beside it is not blamed
    Given 6 entries in 3 data centres with 3 control VMs
    When a request ends targets with 5 others beside it each time
    Then every entry keeps it from targets 2 s later
    And none of the others is kept from targets

  Scenario: Several such requests at once are told apart
    Given 6 entries in 3 data centres with 3 control VMs
    When 4 requests end targets at random entries for 10 s
    Then each of them has ended no more than 3 targets

  Scenario: A request that is answered whole is blamed no more
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets end under a request at two entries
    And a third entry gets a whole answer to it that was under way
    Then no entry keeps it from targets 1 s later
    When two targets end under a request at two entries
    Then every entry keeps it from targets 2 s later

  Scenario: A target that answers again has not ended
    Given a ledger with 2 ends of a request 10 s ago
    When one of the targets answers what it was sent 11 s ago
    Then the request is kept from targets
    When one of the targets answers what it was sent 1 s ago
    Then the request is not kept from targets

  Scenario: It is held for longer each time, and forgotten in the end
    Given a ledger with 2 ends of a request 0 s ago
    Then the request is held for 600 s
    When 601 s pass
    Then the request is not kept from targets
    When a further target ends under it
    Then the request is held for 1200 s
    When 2401 s pass
    Then nothing is remembered

  Scenario: A request that was answered whole after many ends can still be held
    Given a ledger with 2 ends of a request 1 s ago
    When 20 more targets end under it, with a whole answer after each
    Then the request is not kept from targets
    When 2 further targets end under it
    Then the request is kept from targets

  Scenario: An operator lifts it
    Given 6 entries in 3 data centres with 3 control VMs
    When two targets end under a request at two entries
    And an operator lifts it at one entry
    Then no entry keeps it from targets 1 s later

  Scenario: A caller of ever new requests fills no memory and frees no other
    Given a ledger with 2 ends of a request 1 s ago
    When 10000 other requests each have a target end under them
    Then 512 requests are remembered
    And the request is kept from targets

  Scenario: Bodies are hashed of those only that look like a known one
    Given a forwarder that remembers a request with a body of 1000 bytes
    When 50 requests with other paths or sizes come
    Then no body was hashed
    When one with the same path and size and another body comes
    Then one body was hashed, and it was sent

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

  Scenario: A caller is told the truth
    Given a forwarder that keeps a request from targets
    When it comes
    Then it is answered 503 with code 2009 and when to come back
    And no target has received it

  Scenario: Who waits is refused as soon as it is known
    Given a forwarder with a request that waits for a place
    When others tell that two targets ended under it
    Then it is answered 503 with code 2009 and when to come back

  Scenario Outline: Only a target that has ended counts
    Given a target that <does> when it gets a request
    Then <count> ends are remembered after the check

    Examples:
      | does                    | count |
      | ends                    | 1     |
      | breaks off and listens  | 0     |
      | leaves and ends         | 0     |

  Scenario Outline: A target that gives no sign has ended once it is replaced
    Given a target that gives no sign after a request broke
    When <what> <seconds> s later
    Then <count> ends are remembered after the check

    Examples:
      | what                               | seconds | count |
      | nothing has come                   | 2       | 0     |
      | another start is at its address    | 2       | 1     |
      | another service is at its address  | 2       | 0     |
      | another start is at its address    | 11      | 0     |

  Scenario: Drawn schedules of several such requests and of disturbances
    Then in 300 drawn schedules no request goes to targets more than 3 times late

  Scenario: An agent counts an engine's end once for all runs that it broke
    Given an agent whose engine ends, comes back and ends again
    Then two runs that the first end broke are told number 1
    And a run that the second end broke is told number 2
    And a run whose answer was cut while the engine listens is told number 0

  Scenario: A denial after a send does not say that nothing ran
    Given a request of the own interface that an engine may have begun
    When it is denied before its second send, since engines ended under it
    Then its caller is told 3001
    And one that is denied before its first send is told 2009

  Scenario: Marks with figures of any kind harm no ledger
    Then 300 drawn marks leave a ledger that forgets, agrees and is bounded

  Scenario: Frames that another version or nobody wrote are dropped
    Then 300 drawn frames of every kind are read or refused as frames

  Scenario Outline: Runs that ended together are one piece of evidence
    Given runs of a request that began <begun> s ago on 6 targets
    When these end within 0.1 s of each other <ago> s ago
    Then the request is not kept from targets
    When a further target ends under a run that began <later> s ago
    Then the request is <kept>

    Examples:
      | begun | ago | later | kept                  |
      | 2     | 1   | 0.5   | kept from targets     |
      | 2     | 1   | 1.5   | not kept from targets |
      | 1.5   | 1   | 0.9   | kept from targets     |

  Scenario: A second send that ends its target right after the first is evidence
    Given runs of a request that began 1 s ago on 1 targets
    When these end within 0.1 s of each other 0.9 s ago
    And a further target ends under a run that began 0.8 s ago
    Then the request is kept from targets

  Scenario: What is sent on to a target that ends at the same moment is not blamed
    Given runs of a request that began 1 s ago on 3 targets
    When these end within 0.1 s of each other 0.6 s ago
    And a further target ends under a run that began 0.58 s ago, 0.5 s ago
    Then the request is not kept from targets
    When a further target ends under a run that began 0.4 s ago
    Then the request is kept from targets

  Scenario: More ends at once than are remembered do not hide later ones
    Given runs of a request that began 2 s ago on 40 targets
    When these end within 0.1 s of each other 1 s ago
    Then the request is not kept from targets
    When a further target ends under a run that began 0.5 s ago
    Then the request is kept from targets
