Feature: All entries together keep a cold target's rate

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
      | 5       | 26   | 10    | 15    |
      | 22      | 26   | 25    | 10    |
      | 43      | 26   | 40    | 8     |
      | 43      | 4    | 150   | 4     |

  Scenario Outline: Callers that come in bursts after pauses make no second exceed the bound
    Given <entries> entries and a cold target that takes 26 requests a second
    And callers that come for <open> s of every 3 s
    When callers ask for 60 times the rate for 60 s, over 3 seeds
    Then no second exceeds the bound of the cold target

    Examples:
      | entries | open |
      | 1       | 1.2  |
      | 22      | 0.3  |
      | 43      | 1.2  |

  Scenario Outline: A bound that leaves no room for a burst is kept as well
    Given 10 entries and a cold target that takes <rate> requests a second
    And a deployment that allows <overage> times the rate and <tolerance> more
    When callers ask for 20 times the rate for 30 s, over 3 seeds
    Then no second exceeds the bound of the cold target

    Examples:
      | rate | overage | tolerance |
      | 26   | 1       | 0         |
      | 26   | 1.5     | 0         |
      | 2    | 1       | 0         |
      | 0.5  | 1       | 0         |
      | 10   | 0.5     | 0         |

  Scenario Outline: Suspended entries that resume don't use shares that others have taken over
    Given 10 entries and a cold target that takes 26 requests a second
    And a deployment that allows 1 times the rate and 5 more
    And half of them are suspended from 15 s to <until> s
    When callers ask for 40 times the rate for 45 s, over 8 seeds
    Then no second exceeds the bound of the cold target

    Examples:
      | until |
      | 17    |
      | 30    |

  Scenario: Starts, cuts, freezes and elections with a tight bound
    Given 10 entries and a cold target that takes 26 requests a second
    And a deployment that allows 1 times the rate and 5 more
    And starts, cuts, freezes and elections at random
    When callers ask for 20 times the rate for 60 s, over 15 seeds
    Then no second exceeds the bound of the cold target

  Scenario: A share that an entry takes over starts without tokens
    Given a rate of 20 requests a second with a burst of 10
    When an entry has no share until 5 s, and then the whole rate
    Then it may send 0 requests at 5 s, 2 at 5.1 s and 10 at 6 s

  Scenario: A share starts without tokens again after a time without updates
    Given a rate of 20 requests a second with a burst of 10
    When an entry has the whole rate from 0 s, and nothing is updated from 1 s to 5 s
    Then it may send 0 requests at 5 s, 2 at 5.1 s and 10 at 6 s

  Scenario: Entries that all start at once send nothing until they know each other
    Given 43 entries and a cold target that takes 26 requests a second
    When callers ask for 40 times the rate for 3 s, over 3 seeds
    Then the cold target gets nothing

  Scenario: Entries that hear from nobody send nothing
    Given 43 entries and a cold target that takes 26 requests a second
    And no entry reaches a control VM
    When callers ask for 40 times the rate for 20 s, over 3 seeds
    Then the cold target gets nothing

  Scenario: A service without a warm-up rate is not limited
    Given 3 entries and a cold target without a warm-up rate
    When 500 requests arrive at an entry at once
    Then all of them may go to the target
