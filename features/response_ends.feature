Feature: Why an answer ended can be told from its request's id

  Scenario Outline: An engineer can't tell a closed stream from a complete one
    When a target answers <answer>
    Then no attempt failed and the request ended "<outcome>"
    And its response has framing <framing>, end <end>, no cut, <events> events, <bytes> bytes and 0 pending

    Examples:
      | answer          | outcome      | framing | end     | events | bytes |
      | with a length   | answered 200 | length  | framing | 2      | 30    |
      | in chunks       | answered 200 | chunks  | framing | 2      | 30    |
      | until the close | answered 200 | close   | close   | 2      | 30    |
      | without a body  | answered 204 | none    | framing | 0      | 0     |
      | with an error   | answered 404 | length  | framing | 0      | 1     |

  Scenario Outline: An engineer can't tell why an answer was cut off
    When a target answers <answer>
    Then the attempt's line is "send failed" with fault "unknown"
    And its response has framing <framing>, end <end>, cut <cut>, <events> events, <bytes> bytes and <pending> pending
    And its reason is "<reason>"
    And the line on the request says the same of the response

    Examples:
      | answer                              | framing | end     | cut                | events | bytes | pending | reason                                       |
      | and closes inside an event          | close   | close   | inside_event       | 2      | 38    | 8       | ended inside an event                        |
      | and ends the chunks inside an event | chunks  | framing | inside_event       | 2      | 38    | 8       | ended inside an event                        |
      | and closes before the first event   | close   | close   | before_first_event | 0      | 0     | 0       | closed before the first event                |
      | and closes inside a chunk           | chunks  | broken  | closed             | 2      | 30    | 0       | closed                                       |
      | and closes before the head          | no_head | broken  | closed_before_head | 0      | 0     | 0       | closed                                       |
      | and resets the connection           | chunks  | broken  | reset              | 2      | 30    | 0       | closed: [Errno 104] Connection reset by peer |
      | and is unreachable                  | chunks  | broken  | unreachable        | 2      | 30    | 0       | closed: [Errno 110] Connection timed out     |
      | and sends a malformed chunk         | chunks  | broken  | malformed          | 2      | 30    | 0       | malformed response: HttpParserError          |

  Scenario Outline: An engineer can't tell what made the entry stop reading
    When a target answers <answer>
    Then the attempt's line is "<line>"
    And its response has framing <framing>, end <end>, no cut, <events> events, <bytes> bytes and 0 pending
    And its reason is "<reason>"
    And the line on the request says the same of the response

    Examples:
      | answer                             | line             | framing | end     | events | bytes | reason                           |
      | and falls silent                   | time is up       | chunks  | timeout | 2      | 30    | no event for 3.0 s               |
      | and sends nothing                  | time is up       | no_head | timeout | 0      | 0     | no response for 3.0 s            |
      | with status 503                    | send failed      | length  | fault   | 0      | 0     | status 503                       |
      | and connects after the deadline    | time is up       | no_head | unsent  | 0      | 0     | deadline passed while connecting |
      | and connects too late              | request not sent | no_head | unsent  | 0      | 0     | too little time left             |
      | and is evacuated while it connects | request not sent | no_head | unsent  | 0      | 0     | target closed or cold            |

  Scenario: An engineer can't tell a stream that was moved from one that was cut off
    When a stream moves away from a target that falls silent
    Then the attempt's line is "stream leaves target"
    And its response has framing chunks, end moved, no cut, 2 events, 30 bytes and 0 pending
    And the request ended "answered 200"
    And its response has framing chunks, end framing, no cut, 2 events, 30 bytes and 0 pending

  Scenario: An engineer can't tell that the caller went first
    When the caller of a target that falls silent disconnects
    Then no attempt failed and the request ended "caller gone"
    And its response has framing chunks, end caller, no cut, 2 events, 30 bytes and 0 pending

  Scenario: A caller whose connection timed out unread looks like one that went
    When a caller that doesn't read is disconnected
    Then no attempt failed and the request ended "caller gone"
    And its response has framing chunks, end caller, no cut, 2 events, 30 bytes and 0 pending
    And its reason is "the caller doesn't read"

  Scenario: A target is blamed for an answer that its caller didn't read
    When a target resets the connection while its caller doesn't read
    Then the attempt's line is "answer not read in time"
    And its response has framing chunks, end broken, cut unread, 2 events, 30 bytes and 0 pending

  Scenario: A silent caller is taken for a silent target
    When a target falls silent while its caller doesn't read
    Then the attempt's line is "time is up"
    And its reason is "the caller doesn't read"

  Scenario: A failed connection is logged with the response of the attempt before it
    When the attempts of a request are answered:
      | answer                     |
      | and closes inside an event |
      | and opens no connection    |
      | in chunks                  |
    Then its lines are:
      | event         | framing | end     | cut          |
      | send failed   | close   | close   | inside_event |
      | send failed   | no_head | unsent  |              |
      | request ended | chunks  | framing |              |

  Scenario: A resumed run that repeats events looks like any other fault
    When the attempts of a request are answered:
      | answer                          |
      | and closes inside an event      |
      | in chunks, from the first event |
      | in chunks                       |
    Then its lines are:
      | event         | framing | end     | cut            |
      | send failed   | close   | close   | inside_event   |
      | send failed   | chunks  | fault   | repeats_events |
      | request ended | chunks  | framing |                |

  Scenario: A request that was never sent is logged with a response
    When a request meets no target
    Then its response has framing no_head, end none, no cut, 0 events, 0 bytes and 0 pending

  Scenario: A way to end an answer has no name of its own
    When targets answer in all these ways
    Then no line has end "own" or cut "other"
    And every chosen target has one line on its attempt's end

  Scenario: An attempt that was cut off and continued is missing in the metrics
    When the attempts of a request are answered:
      | answer                     |
      | and closes inside an event |
      | and opens no connection    |
      | in chunks                  |
    Then the metrics have these responses:
      | framing | end     | count |
      | close   | close   | 1     |
      | no_head | unsent  | 1     |
      | chunks  | framing | 1     |
    And they have 1 cut "inside_event", 4 events and 68 bytes received

  Scenario: An attempt that two lines describe is counted twice
    When a target answers and falls silent
    Then the metrics have these responses:
      | framing | end     | count |
      | chunks  | timeout | 1     |
    And they have no cut, 2 events and 30 bytes received

  Scenario: An answer that its caller didn't read counts as another cut
    When a target resets the connection while its caller doesn't read
    Then they have 1 cut "unread", 2 events and 30 bytes received

  Scenario: A request that was never sent counts as a response
    When a request meets no target
    Then the metrics have these responses:
      | framing | end | count |
    And they have no cut, 0 events and 0 bytes received

  Scenario: Metrics of responses are lost or counted again when they are published
    When 3 responses of 10 bytes end and their metrics are published twice
    Then they count 3 responses and 30 bytes
