Feature: An answer that was broken off is not complete to a reader of the own interface

  Scenario Outline: Answers to the <reader> are cut off at every place, in every framing
    When peers cut their answers to the <reader> off at every place
    Then no incomplete answer is taken for a complete one

    Examples:
      | reader |
      | agent  |
      | entry  |
      | client |

  Scenario Outline: Whole answers reach the <reader> whole, however they are framed
    When peers answer the <reader> whole
    Then every answer is complete and unaltered

    Examples:
      | reader |
      | agent  |
      | entry  |
      | client |
