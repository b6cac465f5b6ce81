Feature: All entries together keep the retry budget of a service

  Scenario: Entries that restart with their control VMs keep the retry budget
    Given 37 entries that retry whatever they may, with a burst of 202
    When all entries and control VMs restart at once, 2 times within 5 s
    Then no window has more retries than the limit of all entries together

  Scenario Outline: Entries that restart several times keep the retry budget
    Given <count> entries that retry whatever they may, with a burst of <burst>
    When all <what> restart at once, <times> times within 8 s
    Then no window has more retries than the limit of all entries together

    Examples:
      | count | burst | what                     | times |
      | 10    | 96    | entries                  | 1     |
      | 10    | 96    | entries                  | 3     |
      | 10    | 96    | entries and control VMs  | 3     |
      | 37    | 202   | entries and control VMs  | 4     |
      | 37    | 202   | control VMs              | 4     |
      | 103   | 458   | entries and control VMs  | 3     |

  Scenario Outline: Entries that restart in a partitioned system keep the retry budget
    Given <count> entries that retry whatever they may, with a burst of <burst>
    When the system is cut into <parts> parts, and all entries restart in them
    Then no window has more retries than the limit of all entries together

    Examples:
      | count | burst | parts |
      | 10    | 96    | 2     |
      | 10    | 96    | 3     |
      | 37    | 202   | 2     |
      | 37    | 202   | 3     |

  Scenario: Entries that save up retries in parts of a partition keep the retry budget
    Given 10 entries that retry whatever they may, with a burst of 96
    When the system is cut into 3 parts, and all entries restart and save up for 30 s
    Then no window has more retries than the limit of all entries together

  Scenario: Entries that save up retries before a restart keep the retry budget
    Given 37 entries that retry whatever they may, with a burst of 202
    When they make no retry for 20 s, then all they may, and restart
    Then no window has more retries than the limit of all entries together

  Scenario: Entries that drain one after the other keep the retry budget
    Given 10 entries that retry whatever they may, with a burst of 96
    When each of them drains for 6 s and restarts, one every 0.3 s
    Then no window has more retries than the limit of all entries together

  Scenario: Drawn restarts, partitions, freezes and drains keep the retry budget
    Given 8 drawn schedules of faults, from seed 1
    Then none has more retries in a window than the limit of all entries together

  Scenario: Without faults entries may use a good part of the retry budget
    Given 37 entries that retry whatever they may, with a burst of 202
    When the entries run for 20 s
    Then at least 0.4 of the limit is used in the last window

  Scenario Outline: An entry with few requests may retry one of them
    Given one of <count> entries with a request every 3 s and a burst of <burst>
    When the entries run for <seconds> s
    Then it may make <retries> retries at once

    Examples:
      | count | burst | seconds | retries |
      | 10    | 96    | 1       | 0       |
      | 10    | 96    | 10      | 2       |
      | 10    | 96    | 60      | 4       |
      | 37    | 202   | 10      | 1       |
      | 37    | 202   | 60      | 2       |

  Scenario Outline: Only the first start of the whole system grants retries
    Given an entry that has just started, the whole system for the first time: <first>
    Then it may make <retries> retries at once

    Examples:
      | first | retries |
      | yes   | 2       |
      | no    | 0       |

  Scenario: A list that is short for a moment gives an entry no larger share
    Given one of 37 entries with a request every 3 s and a burst of 202
    When the entries run for 60 s
    And its list of entries is short for 2 s, with 1 of them
    Then it may make 2 retries at once

  Scenario Outline: Bounds without a window or a burst allow no retries from the burst
    Given an entry whose budget has a window of <window> s and a burst of <burst>
    When the entries run for 20 s
    Then it may make 0 retries at once

    Examples:
      | window | burst |
      | 0      | 96    |
      | 10     | 0     |

  Scenario Outline: An entry of the own interface gains no retries by restarts
    Given an entry of the own interface that retries whatever it may
    When it restarts <times> times within 10 s without requests
    Then it has made at most 10 retries

    Examples:
      | times |
      | 0     |
      | 1     |
      | 5     |
      | 40    |
