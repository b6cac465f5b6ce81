Feature: One order of service over all entries, replayed loads

  Scenario: A burst of the least urgent requests makes urgent ones late
    Given 12 entries that serve three priorities with 120 slots, seeds 1 to 3
    When the least urgent requests arrive at 2.5 times their rate for 10 s
    Then the most urgent are in time as without the burst, within 3 points
    And by the entry's own order they are at least 15 points worse
    And with each seed no fewer requests are served than by the entry's own order

  Scenario Outline: Requests of a single priority are decided as before
    Given 12 entries that serve a single priority of <customers>, seed <seed>
    When the requests arrive at 1.4 times their rate for 10 s
    Then the decisions are those of the code before the order, digest <digest>

    Examples:
      | seed | customers     | digest           |
      | 1    | one customer  | 83c1db0b564de89d |
      | 2    | one customer  | 72b15f7a3396de5d |
      | 1    | two customers | 7e8e374c9f54ea22 |
      | 2    | two customers | 5cc39cc1fd614235 |

  Scenario Outline: One flooding customer makes the others' requests late
    Given six small customers and a large one that sends at <reach>
    When the large one sends three times its rate for 8 s
    Then the small ones are in time at least 15 points more than by the entry's own order
    And no fewer requests are served

    Examples:
      | reach       |
      | all entries |
      | 4 entries   |

  Scenario: Callers that retry at once take the slots of urgent requests
    Given 12 entries that serve three priorities with 120 slots, seeds 1 to 1
    When refused callers retry at once during the burst
    Then the most urgent are in time 10 points more than by the entry's own order
