Feature: An answer that was broken off is not complete to a reader of the own interface

  Scenario Outline: Answers to the <reader> are cut off at every place, in every framing
    When peers cut their answers to the <reader> off at every place
    Then no incomplete answer is taken for a complete one

    Examples:
      | reader |
      | agent  |
      | entry  |
      | client |

  Scenario: A cancelled run without a length is kept as done
    When a run is cancelled while its engine sends a body without a length
    Then the run is broken

  Scenario: An entry's error completes an event that was cut off
    When an agent sends half an event and is gone
    Then the entry appends nothing to the half event

  Scenario: An entry's error follows complete events
    When an agent sends an event and is gone
    Then the entry appends its error as an event

  Scenario: The rest of a run is appended to an entry's error
    When an entry ends a stream with an error and others have the run
    Then the client asks none of them for the rest

  Scenario: A resumed stream ends before its terminator
    When a stream is cut off and its rest is cut off, too
    Then the client reads the rest until the stream is complete

  Scenario: A broken error response is not resumed
    When an error response is cut off and its rest is received
    Then the client's answer has the status of the error

  Scenario Outline: Whole answers reach the <reader> whole, however they are framed
    When peers answer the <reader> whole
    Then every answer is complete and unaltered

    Examples:
      | reader |
      | agent  |
      | entry  |
      | client |

  Scenario Outline: The response to a HEAD request waits for a body that never comes
    When a HEAD request is answered with "<fields>"
    Then the response is complete without a body
    And the next response on the connection is read whole

    Examples:
      | fields                     |
      | Content-Length: 10         |
      | Transfer-Encoding: chunked |

  Scenario: The response to a HEAD request has neither a length nor a body
    When a HEAD request is answered with "Date: today"
    Then the response is complete without a body
    And the connection is not reused

  Scenario: A body that follows the response to a HEAD request is taken for a response
    When a HEAD request is answered with a body
    Then the response is complete without a body
    And the connection is not reused

  Scenario Outline: A response to the asynchronous client is cut off
    When "<sent>" is received and the connection ends
    Then the asynchronous client's response is broken

    Examples:
      | sent                                                  |
      | HTTP/1.1 200 OK~                                      |
      | HTTP/1.1 200 OK~Content-Type: text/plain              |
      | HTTP/1.1 200 OK~Content-Type: text/plain~             |
      | HTTP/1.1 200 OK~Content-Length: 3~~ab                 |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3~abc~    |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3~abc~0   |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~3~abc~00  |

  # Guards against an agent that never polls its target again.
  Scenario Outline: A target whose report has another shape is polled again
    Given an agent whose target answers "<path>" with "<body>"
    When it polls the target
    Then the target counts as down, and up again once it answers as usual

    Examples:
      | path          | body                    |
      | /cache-events | {}                      |
      | /cache-events | {"prefixes": 3}         |
      | /cache-events | []                      |
      | /load         | 3                       |
      | /load         | {"skew": []}            |
      | /load         | {"adapters": 1}         |
