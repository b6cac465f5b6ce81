Feature: A cold target's rate is used, and kept under heavy load

  Scenario Outline: At least nine tenths of the rate are used, and no second exceeds its bound
    Given <entries> entries and a cold target that takes <rate> requests a second
    When callers ask for <times> times the rate for 60 s, over 3 seeds
    Then no second exceeds the bound of the cold target
    And at least <used> of its rate is used once the entries have settled

    Examples:
      | entries | rate | times | used |
      | 1       | 26   | 3     | 0.9  |
      | 3       | 26   | 3     | 0.9  |
      | 22      | 26   | 20    | 0.9  |
      | 43      | 26   | 30    | 0.9  |
      | 103     | 26   | 60    | 0.9  |
      | 43      | 3    | 60    | 0.9  |
      | 43      | 0.5  | 300   | 0.9  |

  Scenario Outline: Starts, cuts, freezes and elections make no second exceed the bound
    Given <entries> entries and a cold target that takes <rate> requests a second
    And starts, cuts, freezes and elections at random
    When callers ask for <times> times the rate for 60 s, over <seeds> seeds
    Then no second exceeds the bound of the cold target

    Examples:
      | entries | rate | times | seeds |
      | 2       | 26   | 6     | 15    |
      | 5       | 26   | 6     | 15    |
      | 22      | 26   | 10    | 10    |
      | 43      | 26   | 15    | 8     |
      | 43      | 4    | 60    | 4     |

  Scenario Outline: Callers that come in bursts after pauses make no second exceed the bound
    Given <entries> entries and a cold target that takes 26 requests a second
    And callers that come for <open> s of every 3 s
    When callers ask for 30 times the rate for 60 s, over 3 seeds
    Then no second exceeds the bound of the cold target

    Examples:
      | entries | open |
      | 1       | 1.2  |
      | 22      | 0.3  |
      | 43      | 1.2  |
