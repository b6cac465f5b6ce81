@real-processes
Feature: Real processes on loopback keep the promises through failures

  Scenario: The leader freezes for longer than its lease and thaws
    Given a running deployment
    When the leader process is frozen
    Then another control VM leads and accepts a change
    And requests are answered meanwhile
    When the frozen process thaws
    Then all control VMs agree and nothing accepted is lost

  Scenario: The leader is killed in the midst of changes
    Given a running deployment
    When changes go on while the leader is killed and restarted
    Then every accepted change is in the log once

  Scenario: A control VM loses its data folder and is seated anew
    Given a running deployment
    When a follower loses its data folder
    Then it does not vote under its old seat
    When the operator removes and adds its seat
    Then it votes again and holds every version

  Scenario: Two operators sign off on the same parent at once
    Given a running deployment
    When two operators sign off at once
    Then exactly one wins and the other is told so

  Scenario: An entry restarts after hundreds of changes
    Given a running deployment
    When an entry is stopped, 500 changes pass, and it restarts
    Then it serves under the newest version

  Scenario: Requests go on with no control VM at all
    Given a running deployment
    When every control VM is killed
    Then requests are answered meanwhile

  Scenario: An entry is killed in the midst of streams
    Given a running deployment
    When an entry is killed while callers read streams
    Then every caller has its own whole answer and each ran once

  Scenario: An agent is killed in the midst of bookings that are resent
    Given a running deployment
    When the booking agent is killed and restarted under load
    Then no booking ran twice and no caller was told something false

  Scenario: A target that freezes holds up no stream
    Given a running deployment
    When an agent is frozen and callers ask for streams and whole answers
    Then every caller has its own whole answer
    And requests were sent to a second target beside the first

  Scenario: All entries are restarted one by one under load
    Given a running deployment
    When all entries are restarted one by one while callers go on
    Then no request was cut off

  Scenario: A target leaves without cutting off its streams
    Given a running deployment
    When an agent is asked to stop in the midst of a long stream
    Then the stream ends whole and the agent exits by itself

  Scenario: A group's coordinator is killed and comes back
    Given a running deployment with a group of two hosts
    When the coordinator of the group is killed and restarted
    Then the group steps on, every step under one map
    And the coordinator shows both users' weights side by side

  Scenario: A group's coordinator freezes, is replaced and thaws
    Given a running deployment with a group of two hosts
    When the coordinator of the group freezes until it is replaced and thaws
    Then the group steps on, every step under one map

  Scenario: Bad input is refused by number and nothing crashes
    Given a running deployment
    Then each kind of bad input gets its numbered error
    And garbage on the internal ports is dropped
    And requests are answered meanwhile

  Scenario: Internal links admit only processes with the deployment's keys
    Given a running deployment with keys
    Then requests are answered meanwhile
    And a process with other keys is not heard
