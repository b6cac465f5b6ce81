Feature: Messages larger than a frame are transferred in parts

  # Guards against a message that is lost or damaged when parts of it are.
  Scenario Outline: A large message survives lost, repeated and delayed frames
    When a message of <size> bytes is transferred while <loss> of the frames are lost, for 40 seeds
    Then every one of them arrives unchanged

    Examples:
      | size    | loss |
      | 393217  | 0.0  |
      | 4200000 | 0.0  |
      | 4200000 | 0.1  |
      | 1000000 | 0.3  |

  # Guards against a transfer that continues in the middle at a new process.
  Scenario: A receiver that restarts midway gets the whole message
    When the receiver of a message of 4200000 bytes is replaced after a third of it
    Then the new receiver gets the whole message

  # Guards against heartbeats that wait until a large message has been sent.
  Scenario: At most a window of a large message is on its way
    When a message of 4200000 bytes is transferred while 0.1 of the frames are lost, for 5 seeds
    Then at most 256 KiB of it were unacknowledged at any time

  # Guards against copies of a message that queue up behind a slow connection.
  Scenario: A message that is repeated while it is on its way is sent once
    When a message of 4200000 bytes is sent 10 times while it is on its way
    Then it is transferred once

  # Guards against an order that waits until another one has been transferred.
  Scenario: Large messages of different requests are sent side by side
    When 8 requests of 4200000 bytes are sent to one node
    Then all 8 are in progress at once

  # Guards against memory that a sender which went away keeps occupied.
  Scenario: A transfer without progress is given up at both ends
    When a message of 4200000 bytes is cut off midway for 4 seconds
    Then neither end keeps any of it
