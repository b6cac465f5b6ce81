Feature: All entries together keep a cold target's rate

  Scenario: A share starts without tokens again after a time without updates
    Given a rate of 20 requests a second with a burst of 10
    When an entry has the whole rate from 0 s, and nothing is updated from 1 s to 5 s
    Then it may send 0 requests at 5 s, 2 at 5.1 s and 10 at 6 s

  Scenario: A service without a warm-up rate is not limited
    Given 3 entries and a cold target without a warm-up rate
    When 500 requests arrive at an entry at once
    Then all of them may go to the target

  Scenario: Entries of an undisturbed site may use their shares all the time
    Given a site with 6 entries
    When it runs for 30 s
    Then every entry may use its shares from 10 s on, and counts 6 entries

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

  Scenario: A share that an entry takes over starts without tokens
    Given a rate of 20 requests a second with a burst of 10
    When an entry has no share until 5 s, and then the whole rate
    Then it may send 0 requests at 5 s, 2 at 5.1 s and 10 at 6 s

  Scenario: Entries that all start at once send nothing until they know each other
    Given 43 entries and a cold target that takes 26 requests a second
    When callers ask for 40 times the rate for 3 s, over 3 seeds
    Then the cold target gets nothing

  Scenario Outline: Suspended entries that resume don't use shares that others have taken over
    Given 10 entries and a cold target that takes 26 requests a second
    And a deployment that allows 1 times the rate and 5 more
    And half of them are suspended from 15 s to <until> s
    When callers ask for 15 times the rate for 45 s, over 8 seeds
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

  Scenario: Entries that hear from nobody send nothing
    Given 43 entries and a cold target that takes 26 requests a second
    And no entry reaches a control VM
    When callers ask for 40 times the rate for 20 s, over 3 seeds
    Then the cold target gets nothing
