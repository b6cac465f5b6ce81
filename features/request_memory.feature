Feature: What connections hold in memory is bounded for a whole process

  # Guards against a trailer that is taken for a field of the head.
  Scenario Outline: A trailer <name> is no field of the request
    Given a server with 1000000 bytes for requests
    When a caller sends a chunked body with the trailer "<name>"
    Then the request has its body and no field "<name>"

    Examples:
      | name          |
      | authorization |
      | model-id      |
      | prefix-hash   |

  Scenario: An unfinished head counts with its bytes
    Given a server with 1000000 bytes for requests
    When a caller sends 12000 bytes of a head and stops
    Then 12000 bytes are counted

  Scenario: A complete head counts with the objects of its fields
    Given a server with 1000000 bytes for requests
    When a caller sends a request with 1000 fields of 4 bytes
    Then at least 160000 bytes are counted until it is answered
    And nothing is counted after it

  Scenario: The largest unfinished request is given up first
    Given a server with 40000 bytes for requests
    When callers send 9000, 15000, 9000 and 9000 bytes of a head and stop
    Then the second one is answered 503 and closed, and the others are open

  Scenario: A body that stalls is given up while others wait
    Given a server with 500000 bytes for requests
    When 3 callers send all of a body of 200000 bytes but its end, and one all
    Then the last one is answered 200
    And a caller that stalled is answered 408

  # Each of them alone is within the limit, and together they are not.
  Scenario: Bodies that each have a part don't wait for each other
    Given a server with 500000 bytes for requests
    When 8 callers send a body of 400000 bytes each, a part at a time
    Then all of them are answered 200
    And nothing is counted after it

  Scenario: A body larger than the limit is read if it is the only one
    Given a server with 100000 bytes for requests
    When 1 callers send a body of 400000 bytes each, a part at a time
    Then all of them are answered 200

  Scenario: Small requests are read while large bodies wait
    Given a server with 500000 bytes for requests
    When large bodies wait, and a caller sends a body of 20000 bytes
    Then the last one is answered 200 while the large ones wait

  # Guards against a request that counts twice.
  Scenario: A body that is complete before there is room for it
    Given a server with 50000 bytes for requests
    When two bodies are unfinished, and a caller sends a whole one of 12000 bytes
    Then it is answered 200 and counts no longer
    And nothing is counted after it

  # What can't be read now has not run, and the caller may return.
  Scenario: A rejection for want of memory says when to return
    Given a server with 40000 bytes for requests
    When callers send 9000, 15000, 9000 and 9000 bytes of a head and stop
    Then the rejection has a Retry-After

  Scenario: A connection beyond the limit closes the one that is idle longest
    Given a server with 3 connections
    When callers open 3 connections, the first of which has a request
    And another connection is opened
    Then the second connection is closed, and the others are open

  Scenario: Limits are shares of the VM's memory and descriptors
    Then a VM of 300 MB and 4100 descriptors gives
      | process | requests | unsent   | connections |
      | caller  | 60000000 | 48000000 | 2050        |
      | other   | 24000000 | 12000000 | 2050        |

  # Guards against answered requests that wait for the garbage collector.
  Scenario: Bodies of answered requests are released at once
    Given a server with 10000000 bytes for requests
    When 8 callers send a body of 400000 bytes each, a part at a time
    Then all of them are answered 200
    And no body of theirs is in memory

  Scenario: An idle connection to a target keeps no body
    When a body of 400000 bytes is sent over a connection that is then idle
    Then no body of theirs is in memory
