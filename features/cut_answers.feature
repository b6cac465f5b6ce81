Feature: An answer that was broken off never reaches its caller as complete

  Scenario: Answers are cut off at every place, in every framing and on every route
    When targets cut off answers in every way that the table lists
    Then no caller is told that a broken answer is complete

  Scenario: Whole answers are passed on whole, however they are framed
    When targets answer whole in every framing
    Then every caller gets the whole answer
