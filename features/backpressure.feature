Feature: A target in need is left alone as far as it asks, at nobody's cost

  # Five targets of sixteen turned away all that came and asked for 3 s of rest
  # each time. The entries did not read it; and as whoever refuses at once has
  # no open request, these were the least loaded of all and were chosen next:
  # 292 requests in 9 s reached the five, 95 the eleven that were well. After
  # three refusals in a row an entry took the whole service for refusing:
  #   7.168 "send failed" target i-4364331507 not_run status 503 open 0
  #   7.459 "targets refuse"
  # and 66 of 187 callers were told 503 while others had free places.

  Scenario: A target that asks for rest is left alone until its end
    Given an entry with 4 targets
    When one of them asks for 3 s of rest, and requests come for 6 s
    Then no more than 2 requests reach a target within a rest it asked for

  Scenario: Nobody is refused while a well target has room
    Given an entry with 4 targets
    When one of them asks for 3 s of rest, and requests come for 6 s
    Then every caller is answered 200

  Scenario: A target that says it leaves gets nothing more
    Given an entry with 4 targets
    When one of them says that it leaves, and requests come for 3 s
    Then it gets no request that came after its first such answer
    And every caller is answered 200

  Scenario: A target that refuses without a word on how long is tried less and less
    Given an entry with 4 targets
    When one of them refuses, and requests come for 6 s
    Then no more than 8 requests reach it
    And every caller is answered 200

  Scenario: A target that takes requests again has its part of them
    Given an entry with 4 targets
    When one of them refuses for 2 s, and requests come for 8 s
    Then it gets at least 15 requests in the last 4 s

  Scenario: Targets are tried though all of them have refused
    Given an entry with 4 targets
    When all of them refuse for 2 s, and requests come for 4 s
    Then every caller of the last 0.5 s is answered 200

  Scenario: What one entry is refused the others hear of
    Given an entry with 4 targets
    When another entry tells for 3 s that one of them refuses, and requests come
    Then no more than 0 requests reach it
    And every caller is answered 200
    When requests come for 2 s without a word of the other entry
    Then it gets at least 5 requests in the last 1 s

  Scenario: What another entry is refused bars nothing
    Given an entry with 1 target
    When another entry tells for 1 s that one of them refuses, and requests come
    Then every caller is answered 200

  Scenario: All targets ask for rest
    Given an entry with 4 targets
    When all of them ask for 3 s of rest, and requests come for 6 s
    Then no more than 2 requests reach a target within a rest it asked for
    And whoever is refused for that is told to come back after its end

  Scenario: A rest that ends while a request may wait is waited for
    Given an entry with 1 target
    When all of them ask for 0.4 s of rest, and accept again after it
    Then a request that comes 0.2 s before the end is answered 200

  Scenario: After a rest a target gets one request first
    Given an entry with 4 targets
    When one of them asks for 3 s of rest, and 20 requests come at once after it
    Then it gets 1 of them
    And every caller is answered 200

  Scenario: A connection that opens slowly does not carry a request into a rest
    Given an entry with 1 target
    When a connection opens while it asks another request for 3 s of rest
    Then the request goes to a target that came meanwhile

  Scenario: Who waits for a place does not get it at a target that rests
    Given an entry with 2 targets
    When one of them rests, the other is full, and requests come for 1 s
    Then no more than 1 requests reach it
    And nobody but the one that it refused has been sent to the other

  Scenario: Those who wait do not all go where a rest has just ended
    Given an entry with 2 targets
    When one of them rests, the other is full, and 5 requests wait for its end
    Then it gets 1 of them

  Scenario: Targets that ask for rest are no outage of their service
    Given an entry with 4 targets, which may send a request to 4 of them
    When three of them ask for 3 s of rest, and the fourth is the most loaded
    Then every caller is answered 200

  Scenario: In an outage no target is avoided
    Given an entry with 4 targets, which may send a request to 1 of them
    When all of them refuse, and 3 requests come
    Then the entry may still send to 4 targets

  Scenario: What another target says at the address is not taken for it
    Given an entry with 2 targets
    When another one at the first address says it leaves, and requests come
    Then the first target may still get requests

  Scenario: A stream does not leave a slow target for one that rests
    Given a stream at a target that turns slow, and another one that rests
    Then the stream stays where it is

  Scenario Outline: What a target may say
    When a target says "<rest>" of rest and "<leaving>" of leaving
    Then it wants rest for "<seconds>" s, and it leaves: <leaves>
    And <unreadable> values are shown as unreadable

    Examples:
      | rest        | leaving | seconds | leaves | unreadable |
      | 3           |         | 3       | no     | 0          |
      | 0.25        |         | 0.25    | no     | 0          |
      | 0           |         | 0       | no     | 0          |
      | -1          |         | none    | no     | 1          |
      | nan         |         | none    | no     | 1          |
      | inf         |         | none    | no     | 1          |
      | soon        |         | none    | no     | 1          |
      | 1000000000  |         | 300     | no     | 0          |
      | 2,soon      |         | 2       | no     | 1          |
      | 2,5         |         | 5       | no     | 0          |
      |             | 1       | none    | yes    | 0          |
      |             | 0       | none    | no     | 0          |
      | 3           | 1       | 3       | yes    | 0          |

  Scenario: Only the incarnation that asked is left alone
    Given a target that has asked for 3 s of rest
    When it starts again under its id
    Then it may get requests

  Scenario: A heartbeat of the incarnation that asked changes nothing
    Given a target that has asked for 3 s of rest
    When its next heartbeat comes
    Then it may get no requests

  Scenario: A shorter rest does not take back a longer one
    Given a target that has asked for 3 s of rest
    When it asks for 0 s of rest
    Then it may get no requests

  Scenario: A target that leaves is left alone for good
    Given a target that has said that it leaves
    When 400 s pass for that target
    Then it may get no requests

  Scenario: A target that refuses for hours is still tried
    Given a target that refuses each request for 10000 s
    Then it was tried at least each 8 s, and never twice within 7 s later on

  Scenario: What cannot be read is told once
    Given a target that says "soon" of rest with 20 answers
    Then this is told once, and it may get requests

  Scenario: What is remembered is bounded
    When 10000 targets ask for rest, and other entries tell of 10000 more
    Then no more than 4096 are remembered
    And none is once they are gone and their rests are over
