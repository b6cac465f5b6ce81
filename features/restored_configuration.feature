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
