Feature: An answer that was broken off never reaches its caller as complete

  Scenario: Answers are cut off at every place, in every framing and on every route
    When targets cut off answers in every way that the table lists
    Then no caller is told that a broken answer is complete

  Scenario: Whole answers are passed on whole, however they are framed
    When targets answer whole in every framing
    Then every caller gets the whole answer

  Scenario Outline: A stream ends inside an event unless its last line is a comment, empty or an event's end
    When an event stream "<text>" arrives byte by byte
    Then <events> events are complete, the stream <ends> and <resumes> after "<last>"

    Examples:
      | text                        | events | ends            | resumes           | last |
      | id: 1~data: a~~             | 1      | ends            | can be resumed    | 1    |
      | id: 1~data: a~~id: 2        | 1      | is cut          | can be resumed    | 1    |
      | id: 1~data: a~~id: 2~       | 1      | is cut          | can be resumed    | 1    |
      | id: 1~data: a~~data: b~     | 1      | is cut          | can be resumed    | 1    |
      | id: 1~data: a~~: ping~      | 1      | ends            | can be resumed    | 1    |
      | id: 1~data: a~~: pi         | 1      | is cut          | can be resumed    | 1    |
      | id: 1~data: a~~~~           | 1      | ends            | can be resumed    | 1    |
      | id: 1^~data: a^~^~          | 1      | ends            | can be resumed    | 1    |
      | id: 1^~data: a^~^~id: 2^~^  | 2      | ends            | can be resumed    | 2    |
      | id: 1^data: a^^             | 1      | ends            | can be resumed    | 1    |
      | id: 1^~data: a~^~id: 2^~    | 1      | is cut          | can be resumed    | 1    |
      | data: a~~                   | 1      | ends            | cannot be resumed |      |
      | id: 1~data: a~~data: b~~    | 2      | ends            | cannot be resumed | 1    |
      | : ping~~                    | 0      | ends            | can be resumed    |      |
      | data: id: 9~id:1~~          | 1      | ends            | can be resumed    | 1    |

  Scenario: An error is no continuation of a stream
    Given a resumable request that one target has received
    When part of its response has been passed on
    And a target responds with 404 that is signed
    Then the response is classified as "unknown"

  Scenario: A resumed stream without the event that had begun is not complete
    When a resumed stream of 0 events ends after an event had begun
    Then it is cut off: "ended before an event that had begun"

  Scenario: A resumed stream with nothing left is complete
    When a resumed stream of 0 events ends after a complete event
    Then it is complete

  Scenario: A body of another media type is not read as events
    When a target answers a request for a stream with a JSON body
    Then the JSON body reaches the caller whole

  Scenario: A stream that ends between two parts of a large event is cut off
    When a stream ends right after a part of an event larger than the buffer
    Then the stream is inside an event, also after the end of its line
    And its last id is none of the large event's until that event is complete
