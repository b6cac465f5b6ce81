Feature: Callers and targets that read slowly

  Scenario: What an entry holds for 500 callers that don't read is bounded
    Given an entry and a target whose answers have 256 events of 8 KiB
    When 500 callers don't read their answers for 2 s
    Then the entry holds at most 35 MB for them
    And all 500 of them are still connected
    And the target has had to wait with every answer
    And the entry's process has grown by at most 150 MB
    And another caller gets its whole answer within 2 s

  Scenario: A caller that reads late gets its whole answer
    Given an entry and a target whose answers have 256 events of 8 KiB
    When a caller doesn't read for 1.5 s, and then reads
    Then it gets 256 events in order, and the end of the answer

  Scenario: The pause of a slow caller is not taken for the length of a pass
    Given an entry and a target whose answers have 256 events of 8 KiB
    When a caller doesn't read for 1.5 s, and then reads
    Then pauses between events were recorded, none longer than 0.5 s

  Scenario Outline: A target cuts off an unread answer, and nobody blames the target
    Given an entry and a target whose answers have 256 events of 8 KiB
    And the target cuts off answers that stay unread for 1.2 s
    And streams that are <resumable>
    When a caller doesn't read for 2 s, and then reads
    Then its answer breaks off, without an end
    And the target counts as healthy, with 1 request

    Examples:
      | resumable     |
      | not resumable |
      | resumable     |

  Scenario: A target that doesn't read a large body holds little memory
    Given an entry and a target whose answers have 1 events of 8 KiB
    And the target reads bodies after 1 s
    When a caller sends a body of 4 MB
    Then the entry's connection to the target holds at most 200 kB meanwhile
    And the target gets the whole body, and the caller its answer

  Scenario: Request bodies beyond the total are read later
    Given an entry and a target whose answers have 1 events of 8 KiB
    And the target reads bodies after 0.3 s
    And an entry that keeps request bodies of 1 MB in all
    When 8 callers send a body of 0.4 MB each
    Then the entry held at most 3 MB of bodies
    And every caller gets its answer

  Scenario: Beyond the total the caller with the most unread bytes is cut off
    Given an entry and a target whose answers have 256 events of 8 KiB
    And an entry that holds 1 MB of answers in all
    When 40 callers don't read their answers for 1 s
    Then the entry holds at most 1 MB for them
    And at least 5 of them are still connected
    And another caller gets its whole answer within 2 s

  Scenario: A complete reply larger than the bound of a stream is delivered
    Given a server that replies with 6 MB
    When a caller asks for it and starts to read after 0.2 s
    Then it gets 6 MB
