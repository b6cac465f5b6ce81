Feature: A key is claimed at most once

  Scenario: One of two simultaneous claims of a key is granted
    Given 5 entries that own claims
    When "e1" and "e2" claim "k" at once
    Then exactly one of them is granted and the other gets "held"

  Scenario: A claim survives the loss of its primary
    Given 5 entries that own claims
    When "k" is claimed
    And the primary of "k" is lost and the view changes
    And "k" is claimed again
    Then the second claim gets "held"

  Scenario: A claim survives a second loss right after the repair
    Given 6 entries that own claims
    When "k" is claimed
    And the primary of "k" is lost and the view changes
    And the primary of "k" is lost and the view changes
    And "k" is claimed again
    Then the second claim gets "held"

  Scenario: When two of three owners are lost at once, unknown keys are refused
    Given 6 entries that own claims
    When "k" is claimed
    And two owners of "k" are lost at once
    And "k" is claimed again
    Then the second claim gets "blind"
    When the claim window and the authority of the lost owners expire
    And "k" is claimed again
    Then the second claim gets "granted"

  Scenario: The loss of a whole data centre loses no claim and refuses no key
    Given 12 entries that own claims
    When "k" is claimed
    And a whole data centre is lost at once and the view changes
    Then every partition is repaired and no key is refused
    When "k" is claimed again
    Then the second claim gets "held"

  Scenario: An owner that restarted empty does not count until repaired
    Given 3 entries that own claims
    When "k" is claimed
    And one owner of "k" restarts empty and another is lost before the repair
    And "k" is claimed again
    Then the second claim is not granted

  Scenario: An owner without confirmation from control stops granting
    Given 3 entries that own claims
    When every entry has been cut off from control for 190 seconds
    And "k" is claimed again
    Then the second claim is not granted

  Scenario: A resumed primary of an old view grants nothing
    Given 5 entries that own claims
    When the primary of "k" is frozen and the view changes
    And "k" is claimed
    And the frozen entry resumes and claims "k" itself
    Then no key is granted twice

  Scenario: The same key with another body is refused without its record
    Given 3 entries that own claims
    When "k" is claimed
    And "k" is claimed with another body
    Then the answer is "reused" and contains no record

  Scenario Outline: Rules of claims
    Then this rule of claims holds: <rule>

    Examples:
      | rule                                     |
      | an unrepaired owner does not count       |
      | an unrepaired primary grants nothing     |
      | repairs are answered in the new view only |

  Scenario: Random schedules never grant a key twice
    Then 40 random schedules of 30 events grant no key twice
