Feature: Answers of two runs are joined only where the second continues the first

  Scenario: A stream with a length that ends inside an event is not cut at that length
    Given a target that states 25 bytes of events, sends "1, an event's beginning" and keeps open
    And a target that sends "2, 3" as chunks of events
    When a caller asks for a resumable stream
    Then the caller reads "1, 2, 3" framed as complete and nothing after it

  Scenario: The length of a first run does not end a resumed stream that is longer
    Given a target that states 48 bytes of events, sends "1" and resets
    And a target that sends "a version line, 2, 3" as chunks of events
    When a caller asks for a resumable stream
    Then the caller reads "1, a version line, 2, 3" framed as complete and nothing after it

  Scenario: A resumed stream that is shorter does not take the next answer into its body
    Given a target that states 80 bytes of events, sends "1" and resets
    And a target that sends "2, 3" as chunks of events
    When a caller asks for a resumable stream
    Then the caller reads "1, 2, 3" framed as complete and nothing after it

  Scenario: A body of another media type is no continuation of a stream
    Given a target that sends "1" as chunks of events and resets
    And a target that sends "{}" as chunks of JSON
    When a caller asks for a resumable stream
    Then the caller's answer does not look complete

  Scenario: After a body of another media type the stream is resumed at another target
    Given a target that sends "1" as chunks of events and resets
    And a target that sends "{}" as chunks of JSON
    And a target that sends "2, 3" as chunks of events
    When a caller asks for a resumable stream
    Then the caller reads "1, 2, 3" framed as complete and nothing after it

  Scenario: A body without events that was passed on in part is not joined to another run
    Given a target that sends "large text" as chunks of JSON and resets
    And a target that sends "large text" as chunks of JSON
    When a caller asks for a resumable stream
    Then the caller's answer does not look complete
    And the entry has closed the caller's connection

  Scenario: An error that was passed on in part is not joined to a stream
    Given a target that responds with 404, sends "large text" as chunks of plain text and resets
    And a target that sends "1, 2" as chunks of events
    When a caller asks for a resumable stream
    Then the caller's answer does not look complete
    And the entry has closed the caller's connection

  Scenario: A body without events that was passed on in part stays at its slow target
    Given a target that sends "large text" as unfinished chunks of JSON
    And a target that sends "large text" as chunks of JSON
    When a caller asks for a resumable stream and its target turns slow
    Then the caller's answer does not look complete
    And 1 target has received the request

  Scenario: A resumed run that repeats events does not reach the caller
    Given a target that sends "1, 2" as chunks of events and resets
    And a target that sends "1, 2, 3" as chunks of events
    When a caller asks for a resumable stream
    Then the caller's answer does not look complete

  Scenario: A stream without content has no body on the wire
    Given a target that responds with 204 and no body
    When a caller asks for a resumable stream
    Then the caller reads "nothing" framed as complete and nothing after it

  Scenario: A comment that was cut off does not make a complete rest of a stream incomplete
    Given a target that sends "1, 2, a comment's beginning" as chunks of events and resets
    And a target that sends "nothing" as chunks of events
    When a caller asks for a resumable stream
    Then the caller reads "1, 2" framed as complete and nothing after it

  Scenario: An answer that ended with an orderly close is whole though the rest of a long request is refused
    Given a connection whose server answers without a length before it has read a long body
    When the server closes its side in order and resets the connection once more of the body comes
    Then the answer is complete

  Scenario: A failed connection is not logged with the framing of the attempt before it
    Given a target that sends "1, an event's beginning" as chunks of events and resets
    And a target that sends "2" as chunks of events
    When a caller asks for a resumable stream and the second connection is refused
    Then the fault of the refused connection is logged without framing or events

  Scenario: An answer to HEAD ends with its head
    Given a target that states 100 bytes of events, sends "nothing" and keeps open
    When a caller sends HEAD on a route of safe requests
    Then the caller has a 200 within 0.5 s
