Feature: Parts of prompts that crash targets, and who is held for them

  Scenario: A caller can't get a part of another customer's prompts held
    Given 3 entries with requests of customer "one"
    When customer "two" names parts of "one" in 40 requests that crash targets
    Then requests of customer "two" with these parts are held
    And requests of customer "one" with these parts are served

  Scenario: A part that crashes targets for several customers is held for all
    Given 3 entries with requests of 10 customers
    When requests with a crashing part arrive every 0.5 s for 10 s
    Then targets have crashed at most 4 times on it
    And a request of an eleventh customer with it is held

  Scenario: A part is forgotten once all targets have a new version that runs it
    Given 3 entries with requests of customer "one"
    When requests with a crashing part arrive every 0.5 s for 5 s
    And all targets are replaced by a version that runs it
    And requests with a crashing part arrive every 0.5 s for 8 s
    Then the last requests with it are served
    And no part is held

  Scenario: One request that a new version runs releases the part for all customers
    Given 3 entries with requests of 10 customers
    When requests with a crashing part arrive every 0.5 s for 5 s
    And all targets are replaced by a version that runs it
    And requests with a crashing part arrive every 2 s for 3 s
    Then a request of an eleventh customer with it is sent

  Scenario: One request learns that a new version still crashes on a part
    Given 10 entries with requests of customer "one"
    When requests with a crashing part arrive every 0.05 s for 3 s
    And all targets are replaced by a version that does not run it
    Then at most 2 requests with it reach targets within 5 s

  Scenario: A quarantine of a part ends with one request at a time
    Given 3 entries with requests of customer "one"
    When requests with a crashing part arrive every 0.5 s for 5 s
    And the time of its quarantine passes
    Then at most 2 requests with it reach targets within 5 s

  Scenario: An operator lifts the quarantine of a part
    Given 3 entries with requests of customer "one"
    When requests with a crashing part arrive every 0.5 s for 5 s
    And targets run it again and an operator lifts its quarantine at one entry
    And requests with a crashing part arrive every 0.5 s for 5 s
    Then the last requests with it are served

  Scenario: A request that crashes targets again and again holds no part
    Given a quarantine whose targets crashed twice under one request
    Then this request is held, and another one with its parts is not
    When a third target crashes under another request with one of its parts
    Then a request with that part is held
    And one with the other parts of the first request is not

  Scenario: A part that was answered before needs one more crash
    Given a quarantine that has answered requests with a part
    When 2 targets crash under different requests with it
    Then a request with that part may be sent, one at a time
    When 1 targets crash under different requests with it
    Then a request with that part is held

  Scenario: A response that had gone on is not blamed
    Given a quarantine without marks
    When 3 targets crash beside long responses to requests with a part
    Then a request with that part is sent

  Scenario: A request that was cancelled before its target crashed is among the suspects
    Given a target that crashes 1 s after a request to it was cancelled
    Then the case of the target names that request
    And one that was cancelled 3 s before is not named

  Scenario: Callers that leave don't hide the request that crashes a target
    Given a target that crashes after 100 requests to it were cancelled
    Then the case of the target names 17 requests, and that whose connection broke

  Scenario: Many parts neither fill the memory nor end a quarantine
    Given a quarantine whose targets crashed on a part
    When targets crash under 10000 requests with other parts
    Then the ledger holds 512 requests and parts
    And a request with that part is held

  Scenario: A request with a held part is rejected at once with a code of its own
    Given a forwarder that has quarantined a part
    When a request with it arrives
    Then it is answered 503 with code 2012 and a Retry-After of 600 s
    And no target has received it

  Scenario: A request that waits is rejected once its part is held
    Given a forwarder with a waiting request
    When others report two crashes under its part
    Then it is answered 503 with code 2012 and a Retry-After of 600 s

  Scenario: A request that its target has not answered yet is cancelled
    Given a forwarder with a request at a target that has not answered
    When others report two crashes under its part
    Then it is answered 502 with code 3001
    And its target sees the connection close

  Scenario: A second request with a part under suspicion comes back later
    Given a forwarder with a request at a target that has not answered
    When others report one crash under its part, and it arrives twice more
    Then the second of them is answered 503 with code 2012 and a Retry-After of 0.5 s

  Scenario Outline: Which parts of a prompt others may share
    Then the parts of a prompt stated as "<stated>" are "<parts>"

    Examples:
      | stated             | parts |
      | a1:40,B2:7,c3:250  | a1 b2 |
      | c3:250             |       |
      | nothing            |       |
      | a1:40, b2 ,c3      | a1 b2 |
      | a1:x,,a1:40,c3:250 | a1 a1 |

  Scenario Outline: The versions that a target states
    Then a heartbeat that states <stated> has the versions "<build>"

    Examples:
      | stated                                               | build      |
      | {}                                                   |            |
      | {"version": "v2"}                                    | v2         |
      | {"version": 3, "models": [{"name":"m","version":1}]} | 3 m:1      |
      | {"version": ["v"], "models": {"name": "m"}}          |            |
