Feature: Checks of small components

  Scenario Outline: Component rule
    Then this holds: <rule>

    Examples:
      | rule                                                          |
      | an agent without a confirmed fence rejects every order        |
      | an order with an old fencing number is rejected               |
      | orders follow the newest bundle, superseded ones are not sent |
      | several readers read one response from any offset             |
      | corrupt, unknown and oversized frames are rejected            |
      | services are found by name and stopped in reverse order       |
      | the burn rate is the share of bad responses over the budget   |
      | the burn report merges entries and lists causes               |
      | every result code is documented                               |
      | missing expert counts change nothing and a jump is adopted    |
      | the heartbeat interval follows the acknowledgements           |
      | invalid header values get their result code                   |
      | of two failed attempts the one that may have run is reported  |
      | the second of two attempts wins if it responds first          |
      | a rejected resend is not reported as not run                  |
      | an unsafe service requires an idempotency key                 |
