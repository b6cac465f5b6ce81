Feature: Crashed targets and disconnected callers are detected

  Scenario: A delayed heartbeat of a crashed target does not hide its successor
    Given a target that sends a heartbeat every 1.2 s
    When the first heartbeat of a crashed target at its address arrives late
    And the successor sends heartbeats for 5 seconds
    Then requests to the address go to the successor

  Scenario: A delayed heartbeat of a known target changes nothing
    Given a target that sends a heartbeat every 1.2 s
    When another target takes over the address
    And a delayed heartbeat of the first one arrives
    Then requests to the address go to the new one

  Scenario: A target that restarts at its address is used at once
    Given a target that sends a heartbeat every 1.2 s
    When another target takes over the address
    Then requests to the address go to the new one

  Scenario: The kernel detects a dead connection to a target
    Given a connection to a target
    Then the kernel sends a keepalive after 1 s and closes it after 2 s

  Scenario: A dead link between processes is closed
    Given a link to another process
    Then it is pinged twice a second and closed after 1.5 s without a reply

  Scenario: A queued request is not sent after its caller has disconnected
    Given a target without free slots, and a queued request
    When its caller disconnects and the slots become free
    Then the target has received no request half a second later

  Scenario: A queued request is sent once a slot is free
    Given a target without free slots, and a queued request
    When the slots become free
    Then the target has received 1 request

  Scenario: A request is not sent if its caller disconnects during the connect
    Given a request for a target that takes 0.2 s to accept a connection
    When its caller disconnects at once
    Then the target has received no request half a second later

  Scenario: A running request is cancelled when its caller disconnects
    Given a target that has sent the first event of a response
    When its caller disconnects at once
    Then the target's connection is closed within half a second
