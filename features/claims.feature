Feature: A key is claimed at most once

  Scenario: Of two entries that claim one key at once, one is granted
    Given 5 entries that own claims
    When "e1" and "e2" claim "k" at once
    Then exactly one of them is granted and the other is told held

  Scenario: A claim survives the loss of its primary
    Given 5 entries that own claims
    When "k" is claimed
    And the primary of "k" is lost and the view follows
    And "k" is claimed again
    Then the second claim is told "held"

  Scenario: A claim survives a second loss right after the repair
    Given 6 entries that own claims
    When "k" is claimed
    And the primary of "k" is lost and the view follows
    And the primary of "k" is lost and the view follows
    And "k" is claimed again
    Then the second claim is told "held"

  Scenario: When two of three owners are lost at once, unknown keys are refused
    Given 6 entries that own claims
    When "k" is claimed
    And two owners of "k" are lost at once
    And "k" is claimed again
    Then the second claim is told "blind"
    When the window and the authority of lost owners pass
    And "k" is claimed again
    Then the second claim is told "granted"

  Scenario: The loss of a whole place loses no claim and refuses no key
    Given 12 entries that own claims
    When "k" is claimed
    And a whole place is lost at once and the view follows
    Then every range is repaired and no key is refused
    When "k" is claimed again
    Then the second claim is told "held"

  Scenario: An owner that restarted empty does not count until repaired
    Given 3 entries that own claims
    When "k" is claimed
    And one owner of "k" restarts empty and another is lost before the repair
    And "k" is claimed again
    Then the second claim is not granted

  Scenario: An owner without confirmation from control grants nothing more
    Given 3 entries that own claims
    When every entry has been without control for 190 seconds
    And "k" is claimed again
    Then the second claim is not granted

  Scenario: A thawed primary of an old view grants nothing
    Given 5 entries that own claims
    When the primary of "k" is frozen and the view follows
    And "k" is claimed
    And the frozen entry thaws and claims "k" itself
    Then nobody is granted twice

  Scenario: The same key with another body is refused and shows nothing
    Given 3 entries that own claims
    When "k" is claimed
    And "k" is claimed with another body
    Then the answer is "reused" and holds no record

  Scenario Outline: Guard of claims
    Then the claims' guard holds: <guard>

    Examples:
      | guard                                    |
      | an unrepaired owner does not count       |
      | an unrepaired primary grants nothing     |
      | repairs are answered in the new view only |

  Scenario: Random schedules never grant a key twice
    Then 40 random schedules of 30 events grant no key twice
