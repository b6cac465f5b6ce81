Feature: Requests go where they are served best, fairly, or are refused at once

  Scenario Outline: Rule of routing
    Then routing holds: <rule>

    Examples:
      | rule                                          |
      | only living targets that offer the service    |
      | a leaving or dead target gets nothing         |
      | an idle target is preferred                   |
      | own requests correct a stale report           |
      | a target that refuses is avoided for a while  |
      | all are tried if all refuse                   |
      | a new incarnation has refused nothing         |
      | a straggler is ejected and comes back slowly  |
      | a fault of all ejects at most a third         |
      | a new incarnation starts slowly               |
      | a prefix goes home until home is full         |
      | state is kept for a subset only               |
      | the own place is preferred                    |

  Scenario Outline: Rule of admission
    Then admission holds: <rule>

    Examples:
      | rule                                          |
      | room means at once                            |
      | a deadline too near is refused at once        |
      | a queued request is refused when hopeless     |
      | a full queue refuses with a time              |
      | a flood does not starve the small             |
      | shares follow weights                         |
      | urgent ones go first                          |
      | a caller that left frees its place            |
      | retries are a tenth of first tries            |

  Scenario Outline: Rule of addresses
    Then the address answer holds: <rule>

    Examples:
      | rule                                          |
      | a leaving entry is left out                   |
      | near entries weigh more, far ones stay in     |
      | callers spread                                |
      | a service keeps to its shard                  |
