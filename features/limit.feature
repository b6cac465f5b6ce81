Feature: A target's limit holds for all entries together

  Scenario Outline: At least nine tenths of a limit are used, and it is never exceeded
    Given <entries> entries and a target that takes <limit> requests a second
    When callers send <times> times as much for 60 s, over <seeds> seeds
    Then no window of 4 s exceeds the limit and its burst
    And at least <used> of the limit is used

    Examples:
      | entries | limit | times | seeds | used |
      | 1       | 5     | 3     | 5     | 0.9  |
      | 3       | 5     | 3     | 5     | 0.9  |
      | 10      | 5     | 3     | 5     | 0.9 |
      | 10      | 20    | 3     | 5     | 0.9 |
      | 48      | 5     | 20    | 3     | 0.9 |
      | 48      | 50    | 3     | 3     | 0.9  |
      | 103     | 5     | 40    | 3     | 0.9 |
      | 10      | 0.5   | 20    | 5     | 0.9  |
      | 10      | 0     | 20    | 5     | 0    |

  Scenario Outline: What an entry leaves unused while it stalls is not lost
    Given <entries> entries and a target that takes <limit> requests a second
    And each entry stalls for <stall> s in every <interval> s
    When callers send <times> times as much for 60 s, over 5 seeds
    Then no window of 4 s exceeds the limit and its burst
    And at least 0.9 of the limit is used

    Examples:
      | entries | limit | stall | interval | times |
      | 3       | 5     | 0.3   | 1        | 3     |
      | 3       | 5     | 0.8   | 2        | 3     |
      | 3       | 5     | 0.8   | 2        | 6     |
      | 6       | 5     | 0.5   | 2        | 6     |
      | 3       | 20    | 0.8   | 2        | 3     |

  Scenario: Equal shares for all entries would exceed it with 103 entries
    Given 103 entries and a target that takes 5 requests a second
    And every entry has the same share of its limit
    When callers send 40 times as much for 60 s, over 3 seeds
    Then some window of 4 s exceeds the limit and its burst

  Scenario Outline: Partitions, restarts and changes make entries exceed no limit
    Given <entries> entries and a target that takes 5 requests a second
    And <what>
    When callers send <times> times as much for 60 s, over 3 seeds
    Then no window of 4 s exceeds the limit and its burst

    Examples:
      | entries | times | what                                              |
      | 10      | 3     | from 20 s on two halves that don't see each other |
      | 48      | 20    | from 20 s on two halves that don't see each other |
      | 10      | 3     | half of them start at 20 s                        |
      | 48      | 20    | half of them start at 20 s                        |
      | 10      | 3     | half of them stop at 20 s                         |
      | 10      | 3     | all callers at one entry                          |
      | 48      | 20    | all callers at one entry                          |
      | 10      | 6     | a limit that changes each second                  |
      | 48      | 20    | a limit that changes each second                  |

  Scenario Outline: Callers that pause and return at once make entries exceed no limit
    Given <entries> entries and a target that takes <limit> requests a second
    And callers pause for 6 s in every 10 s, and <what>
    When callers send <times> times as much for 60 s, over 3 seeds
    Then no window of 4 s exceeds the limit and its burst

    Examples:
      | entries | limit | times | what                                              |
      | 1       | 5     | 20    | each entry stalls for 0.5 s in every 2 s          |
      | 3       | 5     | 20    | each entry stalls for 0.5 s in every 2 s          |
      | 3       | 50    | 6     | each entry stalls for 0.5 s in every 2 s          |
      | 3       | 5     | 20    | from 20 s on two halves that don't see each other |
      | 10      | 5     | 20    | from 20 s on two halves that don't see each other |
      | 48      | 5     | 20    | from 20 s on two halves that don't see each other |
      | 10      | 5     | 20    | half of them start at 20 s                        |
      | 10      | 5     | 20    | a limit that changes each second                  |

  Scenario: A limit ends with the first answer that states none
    Given a target that has stated a limit of 5 requests a second
    When an answer without a limit arrives for a request sent after that
    Then 20 requests may be sent at once

  Scenario: An answer to a request sent before the limit was stated does not end it
    Given a target that has stated a limit of 5 requests a second
    When an answer without a limit arrives for a request sent before that
    Then 1 requests may be sent at once

  Scenario: Requests go to other targets while a limit is used up
    Given an entry with 4 targets
    When one of them states a limit of 2 a second, and requests arrive for 6 s
    Then it gets at most 17 requests
    And every caller is answered 200

  Scenario: With all targets limited a request waits if it can be on time
    Given an entry with 1 target
    When all of them state a limit of 4 a second, and 12 requests arrive at once
    Then some are answered 200, the others refused at once with a Retry-After
