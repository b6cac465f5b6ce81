Feature: A voter's storage distinguishes a torn tail from corruption

  Scenario: Synced entries are read back
    Given a data folder with 5 entries
    Then all 5 entries are read back under the same identity

  Scenario: A tail torn at any byte is cut off
    Given a data folder with 3 entries
    Then a log torn at any byte yields only whole entries

  Scenario: A flipped bit in the middle is an error
    Given a data folder with 3 entries
    When a bit of the first entry flips
    Then opening the folder fails because the log is corrupt

  Scenario: A flipped bit in the last entry is reported
    Given a data folder with 3 entries
    When a bit of the last entry flips
    Then 2 entries are read and the tail is uncertain

  Scenario: A snapshot replaces the entries it covers
    Given a data folder with 5 entries
    When a snapshot up to 4 is saved
    Then the snapshot and 1 entries are read back

  Scenario: A crash between snapshot and log loses nothing
    Given a data folder with 5 entries
    When only the snapshot file of index 4 is replaced
    Then a voter started from it has the last index 5

  Scenario: A log without an identity is refused
    Given a data folder with 3 entries
    When the identity file is removed
    Then opening the folder fails

  Scenario: An append to a full disk fails and keeps the earlier entries
    Given a data folder with 3 entries
    When the disk is full
    Then an append fails and the earlier entries are kept
