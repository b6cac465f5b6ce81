@real-processes
Feature: Answers that real targets cut off never reach callers as complete

  Background:
    Given three VMs with control and entry, and targets that cut off answers

  Scenario: Real targets cut off answers in every way
    When targets cut off answers in every framing, at every place and end
    Then every caller's answer is whole, visibly cut off or not to be told apart

  Scenario: Whole answers of real targets are passed on whole in every framing
    When targets answer whole in every framing on every route
    Then every caller's answer is whole
    And no framing delays the last event of a stream
