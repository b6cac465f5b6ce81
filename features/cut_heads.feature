Feature: A head that ends early is never taken for a response

  # Guards against a response with an empty or short body that looks whole.
  Scenario Outline: Heads are cut off at every byte before the <reader>
    When a peer cuts its head off at every byte before the <reader>
    Then no cut head is taken for a response

    Examples:
      | reader                     |
      | client of probes and polls |
      | pool of connections        |
      | agent                      |
      | entry                      |
      | client                     |

  # Guards against the same through an entry and its server for callers.
  Scenario Outline: Targets cut their heads off on a <route> route
    When all targets cut their heads off at every byte on a "<route>" route
    Then no caller gets a success

    Examples:
      | route     |
      | safe      |
      | once      |
      | resumable |

  # Guards against a repeated request whose whole answer is not passed on.
  Scenario: The whole answer of a second target follows a cut head
    When one target cuts its head off at every byte and another one answers whole
    Then every caller gets the whole answer of the second one

  # Guards against a head in parts that is taken for a cut one, or for two.
  Scenario: A resumed stream whose head arrives byte by byte is passed on whole
    When a stream breaks off and is resumed by a head that arrives byte by byte
    Then the caller gets every event of the stream once

  # Guards against a resumed stream that ends where a head was cut off.
  Scenario: A resumed stream whose head is cut off does not look complete
    When a stream breaks off and the heads of all others are cut off at every byte
    Then no caller's stream looks complete

  # Guards against an agent that passes a cut head of its engine on as whole.
  Scenario: An engine cuts its heads off behind an agent
    Given a whole system in one process whose engine cuts its heads off
    When a caller sends a request for each byte at which a head is cut off
    Then no caller of the system gets a success
