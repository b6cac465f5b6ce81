@real-processes
Feature: A stopping entry takes only requests that can end before it does

  # Guards against answers that the end of a planned stop cuts off.
  Scenario Outline: Requests on kept connections while an entry stops
    Given three VMs with control and entry, and two targets
    And a route whose answers take <work> s, with a time-out of <timeout> s
    When an entry is told to stop and requests follow on kept connections
    Then none of them is cut off, and those that it does not take are rejected at once
    And those sent until <last> s later are answered whole

    Examples:
      | work | timeout | last |
      | 5    | 8       | -1   |
      | 1    | 2       | 2.8  |
      | 3    | 5       | 2.2  |

  # Guards against answers of which the end is lost in the entry's buffers.
  Scenario Outline: When a stopping entry rejects requests, and when it ends
    Given a stop with a grace of 8 s
    Then after <seconds> s with <open> open requests and <unsent> unsent bytes it is <stage>

    Examples:
      | seconds | open | unsent | stage     |
      | 0.0     | 0    | 0      | accepting |
      | 2.9     | 0    | 0      | accepting |
      | 3.1     | 0    | 0      | rejecting |
      | 4.6     | 0    | 0      | ended     |
      | 4.6     | 1    | 0      | rejecting |
      | 4.6     | 0    | 1      | rejecting |
      | 7.3     | 1    | 1      | rejecting |
      | 7.5     | 1    | 1      | ended     |

  Scenario Outline: A request that waits for a target is rejected if it can't end
    Given a request with <time> s left waits for a target at an entry
    When the entry rejects new requests and ends in 4.4 s
    Then the request <result>

    Examples:
      | time | result                      |
      | 5    | is rejected as not run      |
      | 2    | waits on                    |
