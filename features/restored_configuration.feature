Feature: What a control VM does by a version doesn't depend on how it got it

  # Guards against a leader that knows no engines, so that a pass which its
  # predecessor held is never released.
  Scenario Outline: The planner knows the engines of the version that is held
    Given a control VM that holds version 9 from <source>
    When an engine of a service in version 9 sends a heartbeat to it as leader
    Then its planner tracks the group of that engine

    Examples:
      | source                                   |
      | a change                                 |
      | the records on its disk                  |
      | a snapshot on its disk                   |
      | a snapshot and later entries on its disk |
      | a snapshot of the leader                 |
      | a disk that failed for a moment          |

  # Guards against figures of engines that stay those of the first version which
  # a leader saw.
  Scenario: A group follows a change of its engine's figures
    Given a group of engines that is planned by version 9
    When version 12 allows fewer experts per change
    Then the group plans by version 12 at its next heartbeat

  # Guards against a planner that is replaced in the middle of a switch.
  Scenario: A group that switches follows the change after the switch
    Given a group of engines that is planned by version 9
    When version 12 allows fewer experts per change during a switch
    Then the group plans by version 9 until the switch has ended, then by version 12

  # Guards against limits that are lost if a version is applied during a start.
  Scenario: An entry that gets a version before it listens applies its limits
    Given an entry that applies a version with a body limit of 1000 bytes before it listens
    When it starts to listen for callers
    Then its body limit is 1000 bytes
