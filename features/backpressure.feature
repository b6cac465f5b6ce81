Feature: Entries respect the backpressure of targets without refusing callers

  # A target that refuses at once has no open request: chosen by load alone it
  # would get most requests, and a few such targets would look like an outage.

  Scenario: A target that asks for a back-off gets no requests until its end
    Given an entry with 4 targets
    When one of them asks for a back-off of 3 s, and requests arrive for 6 s
    Then at most 2 requests reach a target within its back-off

  Scenario: No request is refused while a healthy target has free slots
    Given an entry with 4 targets
    When one of them asks for a back-off of 3 s, and requests arrive for 6 s
    Then every caller is answered 200

  Scenario: A draining target gets no further requests
    Given an entry with 4 targets
    When one of them is draining, and requests arrive for 3 s
    Then it gets no request after its first such answer
    And every caller is answered 200

  Scenario: A target that refuses without a back-off is tried less and less
    Given an entry with 4 targets
    When one of them refuses, and requests arrive for 6 s
    Then at most 8 requests reach it
    And every caller is answered 200

  Scenario: A target that accepts requests again gets its share of them
    Given an entry with 4 targets
    When one of them refuses for 2 s, and requests arrive for 8 s
    Then it gets at least 15 requests in the last 4 s

  Scenario: Targets are tried though all of them have refused
    Given an entry with 4 targets
    When all of them refuse for 2 s, and requests arrive for 4 s
    Then every caller of the last 0.5 s is answered 200

  Scenario: Entries avoid a target that refuses another entry
    Given an entry with 4 targets
    When another entry reports for 3 s that one of them refuses, and requests arrive
    Then at most 0 requests reach it
    And every caller is answered 200
    When requests arrive for 2 s without a report of the other entry
    Then it gets at least 5 requests in the last 1 s

  Scenario: A refusal of another entry excludes no target
    Given an entry with 1 target
    When another entry reports for 1 s that one of them refuses, and requests arrive
    Then every caller is answered 200

  Scenario: All targets ask for a back-off
    Given an entry with 4 targets
    When all of them ask for a back-off of 3 s, and requests arrive for 6 s
    Then at most 2 requests reach a target within its back-off
    And the Retry-After of refused callers is after its end

  Scenario: A request waits for a back-off that ends soon enough
    Given an entry with 1 target
    When all of them ask for a back-off of 0.4 s, and accept again after it
    Then a request that arrives 0.2 s before the end is answered 200

  Scenario: After a back-off a target gets one request first
    Given an entry with 4 targets
    When one of them asks for a back-off of 3 s, and 20 requests arrive at once after it
    Then it gets 1 of them
    And every caller is answered 200

  Scenario: A connection that opens slowly sends no request during a back-off
    Given an entry with 1 target
    When a connection opens while it answers another request with a back-off of 3 s
    Then the request goes to a target announced meanwhile

  Scenario: A waiting request gets no slot at a target that backs off
    Given an entry with 2 targets
    When one of them backs off, the other is full, and requests arrive for 1 s
    Then at most 1 requests reach it
    And only the request that it refused has been sent to the other

  Scenario: Waiting requests are not all sent to a target after its back-off
    Given an entry with 2 targets
    When one of them backs off, the other is full, and 5 requests wait for its end
    Then it gets 1 of them

  Scenario: Targets that ask for a back-off are no outage of their service
    Given an entry with 4 targets, which may send a request to 4 of them
    When three of them ask for a back-off of 3 s, and the fourth is the most loaded
    Then every caller is answered 200

  Scenario: In an outage no target is avoided
    Given an entry with 4 targets, which may send a request to 1 of them
    When all of them refuse, and 3 requests arrive
    Then the entry may still send to 4 targets

  Scenario: Signals of another target at the address are ignored
    Given an entry with 2 targets
    When another one at the first address is draining, and requests arrive
    Then the first target may still get requests

  Scenario: A stream is not moved from a slow target to one that backs off
    Given a stream at a target that becomes slow, and another one that backs off
    Then the stream stays where it is

  Scenario Outline: Signals of a target
    When a target sends back-off "<back-off>" and leaving "<leaving>"
    Then the back-off is "<seconds>" s, and it is draining: <draining>
    And <unreadable> values are unreadable

    Examples:
      | back-off    | leaving | seconds | draining | unreadable |
      | 3           |         | 3       | no       | 0          |
      | 0.25        |         | 0.25    | no       | 0          |
      | 0           |         | 0       | no       | 0          |
      | -1          |         | none    | no       | 1          |
      | nan         |         | none    | no       | 1          |
      | inf         |         | none    | no       | 1          |
      | soon        |         | none    | no       | 1          |
      | 1000000000  |         | 300     | no       | 0          |
      | 2,soon      |         | 2       | no       | 1          |
      | 2,5         |         | 5       | no       | 0          |
      |             | 1       | none    | yes      | 0          |
      |             | 0       | none    | no       | 0          |
      | 3           | 1       | 3       | yes      | 0          |

  Scenario: A back-off applies to one incarnation only
    Given a target that has asked for a back-off of 3 s
    When it restarts with the same id
    Then it may get requests

  Scenario: A heartbeat of the same incarnation does not end a back-off
    Given a target that has asked for a back-off of 3 s
    When its next heartbeat arrives
    Then it may get no requests

  Scenario: A shorter back-off does not replace a longer one
    Given a target that has asked for a back-off of 3 s
    When it asks for a back-off of 0 s
    Then it may get no requests

  Scenario: A draining target never gets requests again
    Given a target that is draining
    When 400 s pass for that target
    Then it may get no requests

  Scenario: A target that refuses for hours is still tried
    Given a target that refuses each request for 10000 s
    Then it was tried at least every 8 s, and later never twice within 7 s

  Scenario: An unreadable value is reported once
    Given a target that sends back-off "soon" with 20 answers
    Then this is reported once, and it may get requests

  Scenario: The kept state is bounded
    When 10000 targets back off, and other entries report 10000 more
    Then the state of at most 4096 is kept
    And none is kept once they are gone and their back-offs are over
