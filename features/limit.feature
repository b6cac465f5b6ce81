Feature: A target's limit holds for all entries together

  Scenario Outline: Of a limit nine tenths are used, and it is never passed
    Given <entries> entries and a target that takes <limit> requests a second
    When callers want <times> times as much for 60 s, over <seeds> seeds
    Then no 4 s bring more than the rule of limits allows
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

  Scenario: Equal parts for all entries, the other way, pass it at 103 entries
    Given 103 entries and a target that takes 5 requests a second
    And every entry has the same part of its limit
    When callers want 40 times as much for 60 s, over 3 seeds
    Then some 4 s bring more than the rule of limits allows

  Scenario Outline: Nothing makes the entries pass a limit together
    Given <entries> entries and a target that takes 5 requests a second
    And <what>
    When callers want <times> times as much for 60 s, over 3 seeds
    Then no 4 s bring more than the rule of limits allows

    Examples:
      | entries | times | what                                              |
      | 10      | 3     | from 20 s on two halves that do not see the other |
      | 48      | 20    | from 20 s on two halves that do not see the other |
      | 10      | 3     | half of them start at 20 s                        |
      | 48      | 20    | half of them start at 20 s                        |
      | 10      | 3     | half of them end at 20 s                          |
      | 10      | 3     | all callers at one entry                          |
      | 48      | 20    | all callers at one entry                          |
      | 10      | 6     | a limit that changes each second                  |
      | 48      | 20    | a limit that changes each second                  |

  Scenario: A limit ends with the first answer that names none
    Given a target that has named a limit of 5 requests a second
    When an answer comes that names none to a request sent after that
    Then 20 requests may be sent at once

  Scenario: An answer from before a limit was named does not end it
    Given a target that has named a limit of 5 requests a second
    When an answer comes that names none to a request sent before that
    Then 1 requests may be sent at once

  Scenario: Requests go to well targets while a limited one is used up
    Given an entry with 4 targets
    When one of them names a limit of 2 a second, and requests come for 6 s
    Then it gets no more than 17 requests
    And every caller is answered 200

  Scenario: With all targets limited a request waits if it can be in time
    Given an entry with 1 target
    When all of them name a limit of 4 a second, and 12 requests come at once
    Then some are answered 200, and the others refused at once with a time
