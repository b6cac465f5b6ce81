Feature: Report on the outcomes of requests from the logs

  Scenario Outline: A finished request is counted by its outcome for the caller
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

  Scenario: The worst window is listed first with its state changes
    Given a log with a good window and a window with a leader change
    Then the worst window begins at 12 s
    And it names "role changed follower" and "send failed status 503"

  Scenario: Lines that the report does not use are skipped
    Given a log with a truncated line, a line of another program and a blank line
    Then the report counts no request

  Scenario: Retries after a rejection are counted separately
    When the log has a request retried after a rejection
    Then the report counts 1 retried request

  Scenario: The command prints the report
    When "report requests" is run on a log with 3 served and 2 refused requests
    Then it prints a row of 3 in time and 2 refused
    And it names "overloaded" with 2

  Scenario: The report hides which priority and customer was refused
    Given a log with requests of priorities 0 and 2 of two customers
    Then the row of priority 0 is "2 1 1 0"
    And the row of priority 2 is "0 1 0 2 2001:1 2004:1"
    And the row of customer "large" is "0 1 0 2 2001:1 2004:1"
    And a line of an older version is in no row

  Scenario: The report hides how answers were framed and why they were cut off
    When "report requests" is run on the log of an entry whose targets cut off answers
    Then it prints the page "report-cut-answers.txt"

  Scenario: A cut that was continued elsewhere counts once, at its own target
    Given a log with a request that was cut off at one target and answered by another
    Then the row of answers "chunks, framing" is "1 0 0 0 0"
    And the row of cuts "inside_event" is "1 1"
    And its state changes name "send failed ended inside an event"

  Scenario: A line of an older version is listed among the answers
    When the log has a request that ended "answered 200" with 300 ms to its first byte and pauses of 90 ms
    Then the report has no table of answers or cuts

  Scenario Outline: A log whose last line is cut can't be read
    When "report requests" is run on a log whose last line is cut <place>
    Then it prints a row of 3 in time and 2 refused

    Examples:
      | place               |
      | within a number     |
      | within a character  |
      | after its last word |

  Scenario: The line after a cut one is lost with it
    Given a log with a cut line that the line of a restarted process follows without a break
    Then its state changes name "started"

  Scenario: A cut is counted again when the time of the waiting request is up
    Given a log with a cut attempt whose request waits until its time is up
    Then the row of cuts "inside_event" is "1 1"
