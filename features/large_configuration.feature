Feature: A configuration of any accepted size reaches every process

  # Guards against an entry of the log that no follower accepts.
  Scenario Outline: A large configuration blocks no later order
    Given <controls> linked control VMs and an entry
    When an order of <size> bytes is sent to a control VM that does not lead
    Then it is acknowledged within 4 seconds
    And the entry puts it into force within 2 seconds
    And every control VM returns it to a read
    And a later order is acknowledged within 4 seconds

    Examples:
      | controls | size    |
      | 3        | 1048000 |
      | 3        | 1950658 |
      | 3        | 4200000 |
      | 5        | 4200000 |

  # Guards against a log that stays stuck after a start from its records.
  Scenario: A log with an entry larger than a frame is replicated after a start
    Given 3 linked control VMs and an entry
    When all control VMs are killed and the leader's disk holds an order of 2000000 bytes that no other has
    Then every control VM returns it to a read
    And a later order is acknowledged within 4 seconds

  # Guards against a member that cannot join a log with a large configuration.
  Scenario: A control VM with an empty disk joins a log of large configurations
    Given 3 linked control VMs and an entry
    When 6 orders of 3000000 bytes are acknowledged while a control VM is down
    And its disk is emptied and it starts again
    Then it gets a voting seat within 8 seconds and holds the newest version
    And the log of every control VM holds at most 16 MiB

  # Guards against a message that is dropped without a word.
  Scenario: A message above the limit of all nodes is an error where it is sent
    Given 3 linked control VMs and an entry
    When a control VM sends a message of 17 MiB
    Then its link counts a message that is too large

  # Guards against control VMs that never learn of the targets of a large site.
  Scenario: A list of targets larger than a frame reaches another control VM
    Given 3 linked control VMs and an entry
    When a control VM knows 4000 targets with long names
    Then another control VM knows as many within 4 seconds

  # Guards against an order that is refused without the limit that it exceeds.
  Scenario: A body above the limit is refused with the limit and its size
    When a body of 4194305 bytes is announced to a server with a limit of 4194304
    Then the status is 413 and the text names both
