Feature: Expert demand is estimated anew after a jump

  Scenario: A group switches to a suitable map within a second of a jump
    Given a group of 4 engines under a leader
    When 5 seconds pass at the group
    And requests of the group start to select another expert
    Then within 1.0 seconds the hot expert is on more than one rank
    And no pass has begun on two maps
    And no pass was delayed

  Scenario: Counts from before a jump are dropped
    Given the demand of 12 ranks with 96 experts, reported 10 times a second
    When requests select the same experts for 4 seconds
    And requests start to select other experts
    Then the jump is detected within 0.4 seconds
    And half a second after the jump nine tenths of the shares are new

  Scenario: A few more prompts of one topic are no jump
    Given the demand of 12 ranks with 96 experts, reported 10 times a second
    When requests select the same experts for 20 seconds, each read from one of 9 topics
    Then no jump is detected

  Scenario: A rank reports selections from before a jump late
    Given the demand of 12 ranks with 96 experts, reported 10 times a second
    When requests select the same experts for 4 seconds
    And requests start to select other experts
    And a rank reports its selections of the last 3 seconds
    Then half a second after the jump nine tenths of the shares are new

  Scenario: The first prompts after a jump are no second jump
    Given the demand of 2 ranks with 96 experts, reported 10 times a second
    When requests select the same experts for 8 seconds, each read from one of 9 topics
    And requests start to select other experts, each read from one of 9 topics
    Then one jump is detected

  Scenario: A jump is detected once
    Given the demand of 12 ranks with 96 experts, reported 10 times a second
    When requests select the same experts for 4 seconds
    And requests start to select other experts
    And requests continue for 4 seconds
    Then one jump is detected

  Scenario: Frequent jumps shorten the expected duration of demand
    Given the demand of 12 ranks with 96 experts, reported 10 times a second
    When requests select other experts every 2 seconds for 12 seconds
    Then demand is expected to last between 1.5 and 2.5 seconds

  Scenario Outline: Inconsistent counts are dropped
    Given an agent that has read the counts <before>
    When it reads the counts <now> a second later
    Then it reports <reported> with <dropped> dropped

    Examples:
      | before  | now       | reported | dropped |
      | 1, 2, 3 | 2, 2, 5   | 1 0 2    | 0       |
      | 1, 2, 3 | 1, 2, 3   | 0 0 0    | 0       |
      | 1, 2, 3 | 2, 1, 5   | none     | 1       |
      | 1, 2, 3 | 2, 3      | none     | 1       |

  Scenario: Counts of the wrong size are dropped
    Given the demand of 12 ranks with 96 experts, reported 10 times a second
    When a rank reports counts of 7 experts
    Then the counts are dropped and the demand is unknown

  Scenario: Slow copies favour the stage with one copy per rank
    Given stages with 1, 2 and 4 copies per rank and peaks of 1.4, 1.25 and 1.2, from 3.1
    When a copy takes 0.4 seconds and demand lasts 4 seconds
    Then the stage with 1 copy is chosen

  Scenario: Fast copies favour the stage with all copies
    Given stages with 1, 2 and 4 copies per rank and peaks of 1.4, 1.25 and 1.2, from 3.1
    When a copy takes 0.001 seconds and demand lasts 4 seconds
    Then the stage with 4 copies is chosen

  Scenario: No stage that would finish after its demand has ended
    Given stages with 1, 2 and 4 copies per rank and peaks of 1.4, 1.25 and 1.2, from 3.1
    When a copy takes 2.0 seconds and demand lasts 2 seconds
    Then no stage is chosen

  Scenario: No stage whose gain is within the sampling noise
    Given stages with 1, 2 and 4 copies per rank and peaks of 1.22, 1.21 and 1.2, from 1.25
    When a copy takes 0.01 seconds and demand lasts 10 seconds
    Then no stage is chosen

  Scenario: The first copy of each rank lowers the peak most
    Given a group of 12 ranks with 3 sets of 96 experts after a jump in demand
    When a placement with one copy per rank is searched
    Then no rank copies more than 1 expert
    And the peak falls from above 2.5 to below 1.6
