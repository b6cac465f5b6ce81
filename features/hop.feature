Feature: Answers of targets that misbehave reach nobody as something else

  Scenario Outline: What a target sends and what becomes of it
    When a target answers a request with "<bytes>" and then "<end>"
    Then the listener is told "<told>" with body "<body>"
    And the connection is <fate>

    Examples:
      | bytes                                                 | end    | told   | body | fate     |
      | HTTP/1.1 200 OK~Content-Length: 2~~ok                 | waits  | end    | ok   | kept     |
      | HTTP/1.1 200 OK~Content-Length: 5~~ok                 | closes | broken | ok   | not kept |
      | HTTP/1.1 200 OK~Connection: close~~ok                 | closes | end    | ok   | not kept |
      | HTTP/1.1 200 OK~Connection: close~~ok                 | resets | broken | ok   | not kept |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~0~~  | waits  | end    | ok   | kept     |
      | HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~     | closes | broken | ok   | not kept |
      | HTTP/1.1 200 OK~Content-Length: 2~~okHTTP/1.1 200 OK~ | waits  | end    | ok   | not kept |
      | HTTP/1.1 200 OK~Content-Length: 2~~ok?!rest           | waits  | end    | ok   | not kept |
      | this is no answer                                     | waits  | broken |      | not kept |
      | HTTP/1.1 100 Continue~~HTTP/1.1 204 No Content~~      | waits  | end    |      | kept     |

  Scenario: A late answer to an earlier request is passed over
    When a target answers a request with one of another id and then its own
    Then the listener is told "end" with body "mine"

  Scenario: A connection that has rested carries nothing that must run once
    Given a pool with a connection that has rested for 0.5 s
    Then a request that may rest 0.15 s gets no connection
    And any other request gets that one

  Scenario: Bytes that come while nothing was asked end the connection
    When a target sends an answer that nobody asked for
    Then the idle connection is not used any more

  Scenario: A control VM keeps its links to all nodes of a large site
    Given a link that sends to 130 nodes
    When it sends each of them 4 frames, one node after the other
    Then each link was opened once and every later frame arrived

  Scenario: A log that was torn by a loss of power ends before the tear
    Given a synced log of 3 records and a write that was torn in its middle
    Then the disk recovers 3 records, and may vote
