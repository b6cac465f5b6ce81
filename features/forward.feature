Feature: A request is answered once, truly, and sent again only where it may

  Scenario Outline: What follows a fault depends on the route and on proof
    Given a <kind> request that one target has received
    When the target shows "<fault>"
    Then the verdict is "<verdict>"

    Examples:
      | kind      | fault    | verdict         |
      | safe      | not_run  | again           |
      | safe      | unknown  | again           |
      | unsafe    | not_run  | targets_refused |
      | unsafe    | unknown  | broken_off      |
      | unsafe    | unsent   | again           |
      | unsafe    | replaced | again           |
      | stream    | unknown  | broken_off      |
      | resumable | unknown  | again           |

  Scenario: "Not run" is never said once a target may have run the request
    Given a safe request that one target has received
    When the target shows "unknown"
    And a second target shows "not_run"
    Then the verdict is "broken_off"

  Scenario Outline: The head of an answer is believed only with its proof
    Given a <kind> request that one target has received
    When a target answers <status> that is <marks>
    Then the head is judged "<judged>"

    Examples:
      | kind   | status | marks            | judged   |
      | safe   | 200    | signed           | fine     |
      | safe   | 200    | unsigned         | unknown  |
      | safe   | 200    | signed, encoded  | unknown  |
      | unsafe | 503    | unsigned         | unknown  |
      | unsafe | 503    | not run          | not_run  |
      | unsafe | 421    | of another       | replaced |
      | unsafe | 500    | signed           | fine     |
      | safe   | 500    | signed           | unknown  |
      | unsafe | 404    | signed           | fine     |

  Scenario: A resumed stream waits longer than a first try
    Then a resumed request waits 1.8 s for a place and a first one 0.6 s

  Scenario: Events are handed on whole and the last id is known
    When the stream "id: 1|data: a||id: 2|data: b||id: 3|da" is split
    Then 2 events went out and the last id is "2"

  Scenario: An event that comes in pieces is handed on once
    When a stream comes as "id: 7|da" and then as "ta: x||"
    Then 1 events went out and the last id is "7"

  Scenario: Entries share the retry budget without asking each other
    Given 10 entries with a budget of 0.2 and a burst of 96
    When each of them gets 20 requests and wants to send all again
    Then the second sends of all stay within the budget

  Scenario Outline: A small system shares all loads, a large one by cells
    Given <entries> entries in 3 places
    Then each entry tells <peers> others, all in its own place: <near>

    Examples:
      | entries | peers    | near |
      | 10      | 9        | no   |
      | 17      | 16       | no   |
      | 37      | 11 to 12 | yes  |
      | 300     | 5 to 35  | yes  |

  Scenario: Entries of a cell tell each other
    Given 300 entries in 3 places
    Then whoever is told by an entry tells it as well

  Scenario Outline: A large system sends to near targets while they have places
    Given <entries> entries in 3 places
    And <targets> targets in 3 places
    Then each entry sends first to <first> targets

    Examples:
      | entries | targets | first |
      | 10      | 16      | 16    |
      | 37      | 72      | 24    |
      | 37      | 3       | 3     |

  Scenario: The surplus of a data centre goes where places are to spare
    Given 20 entries in the first place and 10 in each of two others
    And 72 targets in 3 places
    Then each target gets the same share of all requests within 10 percent

  Scenario: The least loaded target is chosen by the counts of all entries
    Given targets "a,b,c" with 2 places each
    When another entry has 2 requests at "a" and 1 at "b"
    Then every request goes to "c" until it has as many as "b"

  Scenario: The figures of an entry that has gone do not count for long
    Given targets "a,b,c" with 2 places each
    When another entry has 2 requests at "a" and 1 at "b"
    And 2 seconds pass at the balancer
    Then 6 places are free

  Scenario: What a target states beyond the known requests takes places
    Given targets "a,b,c" with 2 places each
    When "a" states 2 running and 1 waiting requests
    Then 4 places are free

  Scenario: A fault that hits most targets ejects only some
    Given targets "a,b,c" with 2 places each
    When all targets fail hard
    Then some target is still chosen

  Scenario: Urgent requests get the free places first
    When requests of priority 2, 1 and 2 wait and one place is free
    Then the request of priority 1 gets it

  Scenario: Those who are refused one after the other return spread out
    When 20 requests are refused within a second
    Then the last is asked back later than the first
    And none is asked back after more than 2.9 s

  Scenario Outline: A caller that has come back is told by the time it states
    Given callers of a route of 8 s that stated <earlier> s before
    Then a caller that states <stated> s has used <used> s

    Examples:
      | earlier | stated | used |
      | 8.05    | 8.05   | 0    |
      | 8.05    | 5.4    | 2.6  |
      | 8.05    | 7.9    | 0    |
      | 5.0     | 5.0    | 0    |
      | 60      | 8.05   | 0    |

  Scenario: A shorter time-out makes nobody look as if it had come back
    Given callers of a route of 8 s that stated 8.05 s before
    When its time-out is changed to 7.5 s
    Then a caller that states 8.05 s has used 0 s
    And a caller that states 5.4 s has used 2.1 s

  Scenario: Callers return later where no target is announced
    When 20 requests are refused since there is no target
    Then each is asked back after 1.6 to 2.6 s

  Scenario Outline: A caller that has come back waits longer than a first try
    Given a request of a caller that has used <used> s and has <left> s left
    Then it waits <waits> s for a place

    Examples:
      | used | left | waits |
      | 0    | 8.0  | 0.6   |
      | 2.6  | 5.4  | 1.4   |
      | 6.8  | 1.2  | 0.4   |

  Scenario: Who asked first gets a free place first
    When a request waits whose caller has used 2 s, and an older first try
    Then the request of the caller that came back gets the free place

  Scenario: Targets that refuse everybody are told from those that are full
    When a service refuses 2 requests in a row
    Then it has no outage
    When it refuses one more
    Then it has an outage, in which waiting requests try it once in 0.5 s
    When a target takes a request
    Then it has no outage

  Scenario: Single refusals make no outage
    When a service refuses a request every 3 s, 5 times
    Then it has no outage

  Scenario: Callers return after an outage, not in its midst
    When 20 requests are refused in an outage
    Then each is asked back after 1.6 to 2.6 s

  Scenario Outline: Entries that see the same free places share them
    Given 10 entries where <waiting> requests wait each
    When all of them see <places> free places
    Then they give away <least> to <most> in all, and <mean> on average

    Examples:
      | waiting | places | least | most | mean |
      | 12      | 96     | 90    | 100  | 96   |
      | 1       | 1      | 0     | 5    | 1    |
      | 2       | 96     | 20    | 20   | 20   |
      | 0       | 96     | 0     | 0    | 0    |

  Scenario: Free places go to those who can still be in time, wherever they wait
    Given an entry where 3 requests wait that are late, and one with 3 in time
    When both see 3 free places
    Then the first gives away none and the second 3
