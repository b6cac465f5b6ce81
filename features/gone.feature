Feature: What has gone without a word is noticed, and nothing is done for it

  Scenario: A late heartbeat of a dead incarnation does not keep its successor out
    Given a target at an address that beats every 1.2 s
    When a heartbeat of an incarnation that crashed there comes for the first time
    And the successor beats on for 5 seconds
    Then requests for the address name the successor

  Scenario: A late heartbeat of an incarnation that was known changes nothing
    Given a target at an address that beats every 1.2 s
    When another incarnation takes over the address
    And a late heartbeat of the first one comes
    Then requests for the address name the new one

  Scenario: A target that starts again at its address is used at once
    Given a target at an address that beats every 1.2 s
    When another incarnation takes over the address
    Then requests for the address name the new one

  Scenario: A connection to a target that goes silent is noticed by the kernel
    Given a connection to a target
    Then the kernel asks for a sign of life after 1 s and gives up after 2 s

  Scenario: A link between our processes that goes silent is closed
    Given a link to another process
    Then it is pinged twice a second and closed after 1.5 s of silence

  Scenario: A caller that leaves while its request waits has nothing sent
    Given a target whose places are all taken, and a request that waits
    When its caller leaves and the places become free
    Then the target has received no request half a second later

  Scenario: A request that waits is sent once a place is free
    Given a target whose places are all taken, and a request that waits
    When the places become free
    Then the target has received 1 request

  Scenario: A caller that leaves while a connection is opened has nothing sent
    Given a request for a target that takes 0.2 s to accept a connection
    When its caller leaves at once
    Then the target has received no request half a second later

  Scenario: A caller that leaves after the request was sent ends the run
    Given a target that has sent a first event of an answer
    When its caller leaves at once
    Then the target's connection is closed within half a second
