Feature: An agent starts a request at most once

  Scenario Outline: Guard of runs
    Then the run table holds: <guard>

    Examples:
      | guard                                    |
      | a keyed request needs a reservation      |
      | a reservation ends                       |
      | a revoked id never starts                |
      | a started id is joined, not run again    |
      | a leaving agent takes nothing new        |
      | a full agent refuses                     |
      | slots come back                          |
      | a run nobody reads is an orphan          |
      | old answers are forgotten                |
