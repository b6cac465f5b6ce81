Feature: What became of requests is told from the logs alone

  Scenario Outline: An ended request counts by what its caller got
    When the log has a request that ended "<outcome>" with <first> ms to its first byte and pauses of <gap> ms
    Then the report counts it as <counted>

    Examples:
      | outcome                     | first | gap | counted |
      | answered 200                | 300   | 90  | in time |
      | answered 200                | 500   | 90  | late    |
      | answered 200                | 300   | 160 | late    |
      | answered 500                | 300   | 0   | failed  |
      | broken off: deadline_passed | 300   | 960 | failed  |
      | broken_off                  | -1    | 0   | failed  |
      | overloaded                  | -1    | 0   | refused |
      | targets_refused             | -1    | 0   | refused |
      | caller gone                 | 300   | 90  | left    |

  Scenario: The worst window stands first, with what changed in it
    Given a log with a good window and one in which a leader was lost
    Then the worst window begins at 12 s
    And it names "role changed follower" and "send failed status 503"

  Scenario: Lines that say nothing to the report are passed over
    Given a log with a torn line, a line of another program and a blank one
    Then the report counts no request

  Scenario: Callers that came back are counted apart
    When the log has a request of a caller that came back
    Then the report counts 1 request of callers that came back

  Scenario: The command prints the report
    When "report requests" is run on a log with 3 served and 2 refused requests
    Then it prints a row of 3 in time and 2 refused
    And it names "overloaded" with 2
