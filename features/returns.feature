Feature: Callers that return after a refusal are recognized

  Scenario: First attempts of callers with different patience are not taken for retries
    Given callers of a route of 8 s whose time is 6.9 to 8.1 s
    When 200 of them make their first attempt
    Then at most 32 of the first attempts count as retries

  Scenario: A caller with its own patience is recognized at another entry
    Given callers of a route of 8 s whose time is 6.9 to 8.1 s
    And 200 of them have made their first attempt at two entries
    When an entry refuses one of them, which returns to the other after 0.6 s
    Then the other entry counts 0.6 s as used

  Scenario: The same content with another deadline is a first attempt
    Given callers of a route of 8 s whose time is 6.9 to 8.1 s
    And 200 of them have made their first attempt at two entries
    When an entry refuses one of them, and a second caller sends the same content
    Then the other entry counts 0 s as used

  Scenario: A storm of retries is not taken for callers with different patience
    Given callers of a route of 8 s that all state 8 s at first
    When 200 requests arrive of which two in three are retries
    Then a caller that has waited 1.5 s counts as a retry

  Scenario Outline: A malformed report of another entry is ignored
    Given callers of a route of 8 s whose time is 6.9 to 8.1 s
    And 200 of them have made their first attempt at two entries
    When an entry reports a refused caller with <used> s used and <left> s left
    Then a caller with this content counts as a first attempt

    Examples:
      | used | left |
      | nan  | 5    |
      | -1   | 5    |
      | 1    | -5   |
      | 1    | nan  |

  Scenario: Refused requests that are remembered are bounded
    Given callers of a route of 8 s whose time is 6.9 to 8.1 s
    And 200 of them have made their first attempt at two entries
    When an entry refuses 10000 callers
    Then it remembers at most 4096 of them and reports at most 256
