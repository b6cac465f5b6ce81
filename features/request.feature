Feature: Every request ends in one true answer

  Scenario Outline: A keyed request under every fault at every step is told the truth
    When a keyed request meets every fault at each of its steps
    Then every answer was true and nothing ran twice
    And all faults of the table were met

    Examples:
      | kind  |
      | keyed |

  Scenario: A keyed request under every pair of faults is told the truth
    When a keyed request meets every pair of faults
    Then every answer was true and nothing ran twice

  Scenario: A request without a key under every pair of faults is told the truth
    When a request without a key meets every pair of faults
    Then every answer was true and nothing ran twice

  Scenario: A resend is never told not run by an entry that saw no first try
    Given the first try ran and its entry died
    When a resend finds no target
    Then the resend is told "unknown"

  Scenario: Whoever says so itself gets not run told on the first try
    When a first try finds no target
    Then it is told "not_run"

  Scenario Outline: Golden session
    Then the session of "<name>" is as recorded

    Examples:
      | name                             |
      | keyed-first-try                  |
      | keyed-lost-answer                |
      | keyed-entry-dies-before-dispatch |
      | keyed-agent-restarts             |
      | plain-broken-stream-resumes      |
      | plain-target-unreachable         |
      | keyed-resend-replays             |
