@real-processes
Feature: A VM that is suspended knows afterwards that time has passed

  The steady clock of a VM stands still while it is suspended. What is timed by
  it goes on as if nothing had happened: a lease still holds that others have
  long taken over, and a request is sent on for a caller whose time is up. The
  time since boot counts the suspension, and no clock step moves it.

  Scenario: A lease ends while its VM is suspended
    Given a voter that leads with a lease, by the clock of the system
    When its VM is suspended for 5 s
    Then it confirms no read

  Scenario: A request whose time ran out meanwhile is not sent to a target
    Given three VMs with control and entry, and two targets
    And the first entry runs on a VM that can be suspended
    When both targets refuse
    And a caller that waits 1.5 s resumes a stream there
    And the VM is suspended for 3 s, while both targets serve again
    Then the caller is refused, and no target has run its request

  Scenario: A leading control VM that was suspended tells of no older version
    Given three VMs whose control VMs can be suspended, and two targets
    When the leading one is suspended for 3 s
    And version 8 is acknowledged elsewhere meanwhile
    And 20 reads wait for it when it wakes
    Then none of them is answered with version 7

  Scenario: Timers of an event loop count the suspension
    Given the event loop of a role
    When its VM is suspended for 5 s while a timer of 4 s runs
    Then the timer is due at once

  Scenario: No module reads the clock that stands still
    Then no module of the product reads it
