Feature: Demand for experts is followed at once when it jumps

  Scenario: A group is on a map that fits within a second of a jump
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    And requests choose another expert from now on
    Then within 1.0 seconds the hot expert is on more than one rank
    And no pass has begun on two maps
    And no pass has waited

  Scenario: Counts from before a jump are dropped
    Given the demand of 12 ranks with 96 experts, told 10 times a second
    When requests choose alike for 4 seconds
    And they choose other experts from then on
    Then the jump is seen within 0.4 seconds
    And half a second after the jump nine tenths of the shares are new

  Scenario: Few prompts of one topic more are no jump
    Given the demand of 12 ranks with 96 experts, told 10 times a second
    When requests choose alike for 20 seconds, each read of one topic of 9
    Then no jump is seen

  Scenario: A rank that tells late of choices from before a jump
    Given the demand of 12 ranks with 96 experts, told 10 times a second
    When requests choose alike for 4 seconds
    And they choose other experts from then on
    And a rank tells at once what it chose in the 3 seconds before
    Then half a second after the jump nine tenths of the shares are new

  Scenario: The first prompts after a jump differ, and are no further jump
    Given the demand of 2 ranks with 96 experts, told 10 times a second
    When requests choose alike for 8 seconds, each read of one topic of 9
    And they choose other experts from then on, each read of one topic of 9
    Then one jump is seen

  Scenario: A jump is seen once
    Given the demand of 12 ranks with 96 experts, told 10 times a second
    When requests choose alike for 4 seconds
    And they choose other experts from then on
    And they go on so for 4 seconds
    Then one jump is seen

  Scenario: Demand that jumps often is not expected to last
    Given the demand of 12 ranks with 96 experts, told 10 times a second
    When requests choose other experts every 2 seconds for 12 seconds
    Then demand is expected to last between 1.5 and 2.5 seconds

  Scenario Outline: Counts that make no sense are dropped
    Given an agent that has read the counts <before>
    When it reads the counts <now> a second later
    Then it tells <told> and has dropped <dropped>

    Examples:
      | before  | now       | told  | dropped |
      | 1, 2, 3 | 2, 2, 5   | 1 0 2 | 0       |
      | 1, 2, 3 | 1, 2, 3   | 0 0 0 | 0       |
      | 1, 2, 3 | 2, 1, 5   | none  | 1       |
      | 1, 2, 3 | 2, 3      | none  | 1       |

  Scenario: Counts of another engine's shape are dropped
    Given the demand of 12 ranks with 96 experts, told 10 times a second
    When a rank tells counts of 7 experts
    Then the counts are dropped and the demand is unknown

  Scenario: A change with one copy a rank comes first where copies take long
    Given changes with 1, 2 and 4 copies a rank, to peaks of 1.4, 1.25 and 1.2 from 3.1
    When a copy takes 0.4 seconds and demand lasts 4 seconds
    Then the change with 1 copy is chosen

  Scenario: All copies at once where they take no time
    Given changes with 1, 2 and 4 copies a rank, to peaks of 1.4, 1.25 and 1.2 from 3.1
    When a copy takes 0.001 seconds and demand lasts 4 seconds
    Then the change with 4 copies is chosen

  Scenario: No change that ends when its demand is gone
    Given changes with 1, 2 and 4 copies a rank, to peaks of 1.4, 1.25 and 1.2 from 3.1
    When a copy takes 2.0 seconds and demand lasts 2 seconds
    Then no change is chosen

  Scenario: No change that sampling noise alone explains
    Given changes with 1, 2 and 4 copies a rank, to peaks of 1.22, 1.21 and 1.2 from 1.25
    When a copy takes 0.01 seconds and demand lasts 10 seconds
    Then no change is chosen

  Scenario: The first copies of all ranks take most off the peak
    Given demand of 3 sets with 96 experts that has jumped, on 12 ranks
    When a placement with one copy a rank is searched
    Then no rank copies more than 1 expert
    And the peak falls from above 2.5 to below 1.6
