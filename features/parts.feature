Feature: Smaller parts keep their word

  Scenario Outline: Part
    Then this holds: <rule>

    Examples:
      | rule                                                    |
      | an agent without a floor passes no order                |
      | an order with an old fencing number is stopped          |
      | orders follow the newest bundle, superseded ones vanish |
      | several readers get one answer from any offset          |
      | frames that are damaged, foreign or large are refused   |
      | services find each other by name                        |
      | burn is bad answers over what is allowed                |
      | the burn report merges entries and names causes         |
      | every result code has its row in the docs               |
      | a popularity gap changes nothing and a jump is adopted  |
      | the beat follows the number of nodes                    |
      | bad header values are refused by number                 |
      | of two failed tries the one that may have run is told   |
      | the second of two tries wins if it answers first        |
      | a rejected resend is not told that nothing ran          |
      | a request without a key may not reach unsafe services   |
