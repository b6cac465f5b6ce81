Feature: An agent starts a request at most once

  Scenario Outline: Rules of runs
    Then this rule of runs holds: <rule>

    Examples:
      | rule                                       |
      | a keyed request needs a reservation        |
      | a reservation expires                      |
      | a revoked id never starts                  |
      | a started id is attached to, not run again |
      | a draining agent accepts no new runs       |
      | a full agent refuses                       |
      | slots are freed                            |
      | a run without readers is orphaned          |
      | old answers are dropped                    |
