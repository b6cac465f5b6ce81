Feature: Requests are routed well, admitted fairly or refused at once

  Scenario Outline: Rules of routing
    Then this rule of routing holds: <rule>

    Examples:
      | rule                                             |
      | only live targets with the service are chosen    |
      | a leaving or dead target gets no requests        |
      | an idle target is preferred                      |
      | own requests correct a stale report              |
      | a target that refuses is avoided for a while     |
      | all targets are tried if all refuse              |
      | refusals of an old incarnation are dropped       |
      | a straggler is ejected and returns slowly        |
      | a fault of all targets ejects at most a third    |
      | a new incarnation starts slowly                  |
      | a cached prefix attracts requests up to a load   |
      | state is kept for a subset only                  |
      | the local data centre is preferred               |

  Scenario Outline: Rules of admission
    Then this rule of admission holds: <rule>

    Examples:
      | rule                                             |
      | a request is admitted at once below the limit    |
      | a deadline that is too near is refused at once   |
      | a queued request is refused once it is late      |
      | a full queue refuses with a retry time           |
      | a flood does not starve other customers          |
      | shares follow weights                            |
      | urgent requests are served first                 |
      | a cancelled request frees its place              |
      | retries are a tenth of first attempts            |

  Scenario Outline: Rules of address answers
    Then this rule of address answers holds: <rule>

    Examples:
      | rule                                             |
      | leaving and suspect entries are not listed       |
      | local entries weigh more, others are included    |
      | callers are spread over entries                  |
      | a service keeps to its shard                     |
