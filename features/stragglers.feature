Feature: Streams move away from a target that delays its group

  Scenario: A stream continues at another target with the next event
    Given a stream that has received 3 events from a target
    When its target is reported 12 times slower
    Then the caller gets events 1 to 6 in order, as one response
    And the slow target saw its connection close

  Scenario Outline: A stream stays at its target
    Given <stream> that has received 3 events from a target
    When its target is reported <slowdown> times slower and <slots>
    Then the stream stays at its target

    Examples:
      | stream                             | slowdown | slots                   |
      | a stream                           | 2        | others have free slots  |
      | a stream                           | 12       | no other has free slots |
      | a stream that can't be resumed     | 12       | others have free slots  |
      | a stream with one attempt          | 12       | others have free slots  |
      | a stream without a retry allowance | 12       | others have free slots  |
