@real-processes
Feature: The whole path under the platform, with real processes

  Scenario: A calm day in small
    Given three VMs with control and entry, and two targets
    Then every entry is ready and named to callers
    And plain requests and streams are answered whole through every entry
    And the target saw the customer's name and not its key
    And each control VM returns the configuration as it was sent

  Scenario: Requests that the configuration does not hold are denied
    Given three VMs with control and entry, and two targets
    Then an unknown path is answered 404, and an unknown key 401
    And a request that smuggles a second one is answered 400
    And a body above the limit is answered 413
    And a head above the limit is answered 431

  Scenario: Configurations that break a rule change nothing
    Given three VMs with control and entry, and two targets
    Then a configuration that is cut short is refused
    And a configuration with an unknown service is refused
    And a configuration with two routes at one place is refused
    And a configuration with weights of 0 is refused
    And a configuration with a timeout of 0 is refused
    And a configuration with a shared key is refused
    And each control VM returns the configuration as it was sent

  Scenario: A stream that breaks off goes on at another target
    Given three VMs with control and entry, and two targets
    When both targets break their next stream off after 4 events
    Then a stream through an entry has every event once

  Scenario: A booking is run once and its refusal is true
    Given three VMs with control and entry, and two targets
    When both targets refuse
    Then a booking is answered 503 with a time to come back, and did not run
    When both targets serve again
    Then a booking is run once

  Scenario: A caller that was refused and came back is not refused again
    Given three VMs with control and entry, and two targets
    And the entries have run for so long that their start is over
    When both targets refuse
    And 4 callers are refused that will still wait 5 s
    Then the first of them was sent to both targets, and the last to one
    When one comes back with 3 s left, and the targets serve 0.5 s later
    Then it is answered whole, and its request was run once

  Scenario: A caller that leaves ends the work at its target
    Given three VMs with control and entry, and two targets
    When a caller leaves a long stream
    Then no event of it is made a second later

  Scenario: A planned stop cuts off no stream
    Given three VMs with control and entry, and two targets
    When an entry is told to stop in the midst of streams
    Then the streams end whole
    And callers are not sent to it any more
    And it ends by itself with code 0

  Scenario: All processes are killed after an acknowledgement
    Given three VMs with control and entry, and two targets
    When version 20 is acknowledged and all processes are killed and started
    Then each control VM returns version 20
    And plain requests and streams are answered whole through every entry

  Scenario: The standard module platform can be imported in a role's process
    Then a role's process imports the standard module named platform

  Scenario: A role that is told to reload while it loads goes on
    Then a role that gets SIGHUP while it loads ends only for want of settings

  Scenario: Only a leading control VM loads the numeric library
    Then a control process that has just started has not loaded it
