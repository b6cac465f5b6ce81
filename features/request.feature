Feature: Every request ends in one correct answer

  Scenario Outline: A keyed request gets a correct answer under each fault at each step
    When a keyed request meets every fault at each of its steps
    Then every answer was correct and no request ran twice
    And all faults of the table have occurred

    Examples:
      | kind  |
      | keyed |

  Scenario: A keyed request gets a correct answer under each pair of faults
    When a keyed request meets every pair of faults
    Then every answer was correct and no request ran twice

  Scenario: A request without a key gets a correct answer under each pair of faults
    When a request without a key meets every pair of faults
    Then every answer was correct and no request ran twice

  Scenario: A resent request is not reported as not run by an entry without its first try
    Given the first try ran and its entry died
    When the request is resent and finds no target
    Then the resent request gets "unknown"

  Scenario: A declared first try is reported as not run if it has no target
    When a first try finds no target
    Then it gets "not_run"

  Scenario Outline: Golden session
    Then the session "<name>" is as recorded

    Examples:
      | name                             |
      | keyed-first-try                  |
      | keyed-lost-answer                |
      | keyed-entry-dies-before-dispatch |
      | keyed-agent-restarts             |
      | plain-broken-stream-resumes      |
      | plain-target-unreachable         |
      | keyed-resend-replays             |
