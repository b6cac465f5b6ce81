Feature: Streams leave a target that holds up its group

  Scenario: A stream goes on at another target with the event that follows
    Given a stream that has got 3 events from a target
    When its target turns out to be 12 times slower
    Then the caller gets events 1 to 6 in order, as one answer
    And the slow target saw its connection close

  Scenario Outline: A stream stays where it is
    Given <what> that has got 3 events from a target
    When its target turns out to be <pace> times slower and <places>
    Then its target still has it

    Examples:
      | what                             | pace | places                |
      | a stream                         | 2    | others have places    |
      | a stream                         | 12   | no other has a place  |
      | a stream that can't be resumed   | 12   | others have places    |
      | a stream with one attempt        | 12   | others have places    |
      | a stream without a retry to take | 12   | others have places    |
