Feature: An entry of the own interface acts on a bundle that a leader has confirmed

  Background:
    Given an entry of the own interface with revision 9, confirmed at 100 s

  Scenario Outline: What it does when it can't know
    When the entry <heard> until <until> s
    Then a request to the own interface at <until> s is <outcome>

    Examples:
      | heard                                | until | outcome                   |
      | hears the leader                     | 140.0 | served                    |
      | asks in vain                         | 140.0 | served                    |
      | hears of revision 10                 | 110.0 | served                    |
      | hears of revision 10                 | 140.0 | configuration_unconfirmed |
      | hears of revision 10 and gets it     | 140.0 | served                    |
      | is suspended                         | 140.0 | configuration_unconfirmed after a wait |
      | is suspended and hears the leader    | 140.0 | served                    |
      | is suspended and asks in vain        | 140.0 | served                    |

  # Guards against an answer that waited in a socket.
  Scenario: An answer to a heartbeat from before a suspension confirms nothing
    When an acknowledgement of its heartbeat of 101 s arrives at 140 s
    Then its revision was known to be the newest at 101 s

  Scenario: An entry starts beside a control VM that does not lead
    When it starts again and hears only a control VM that does not lead
    Then a request to the own interface at 200 s is not_ready
