Feature: An entry sends nothing to the targets of an evacuated data centre

  Scenario: Requests reach a target after its evacuation
    Given an entry with 2 targets in each of two data centres
    When requests arrive for 1 s, "z2" is evacuated, and requests arrive for 1 s
    Then "z2" gets no request after that
    And every request is answered 200
    When the evacuation ends and requests arrive for 1 s
    Then "z2" gets requests again

  Scenario: A request is written to a connection that was opened before the evacuation
    Given an entry with 1 target in each of two data centres
    When "z2" is evacuated while connections to it are opened
    Then "z2" gets no request after that
    And every request is answered 200

  Scenario: A retry goes to an evacuated data centre
    Given an entry with 2 targets in each of two data centres
    When "z2" is evacuated and the targets of "z1" refuse requests for 1 s
    Then "z2" gets no request after that

  Scenario: A waiting request goes to an evacuated data centre
    Given an entry with 1 target in each of two data centres
    When "z2" is evacuated while requests wait for slots in both
    And only the slots of "z2" come free
    Then "z2" gets no request after that

  Scenario: A running stream is ended by the evacuation of its data centre
    Given a stream that runs in "z1" and a target in "z2"
    When "z1" is evacuated
    Then the stream runs on at its target

  Scenario: A stream moves to an evacuated data centre
    Given a stream that runs in "z1" and a target in "z2"
    When "z2" is evacuated
    And the target in "z1" turns slow
    Then the stream runs on at its target

  Scenario: A stream of an evacuated data centre can't leave a slow target
    Given a stream that runs in "z1" and a target in "z2"
    When "z1" is evacuated
    And the target in "z1" turns slow
    Then the stream is continued in "z2"

  Scenario: Callers are held or refused for another reason while all targets are evacuated
    Given an entry with 1 target in each of two data centres
    When all data centres are evacuated and 5 requests arrive
    Then each is refused at once with the code "evacuated" and a return time
    And no target gets a request

  Scenario: Waiting requests are held until their deadline after the last evacuation
    Given an entry with 1 target in each of two data centres
    When requests wait for slots and all data centres are evacuated
    Then each is refused at once with the code "evacuated" and a return time

  Scenario: An entry that has just started holds requests for evacuated targets
    Given an entry with 1 target in each of two data centres
    When it has just started, all data centres are evacuated and 5 requests arrive
    Then each is refused at once with the code "evacuated" and a return time

  Scenario: A caller is told "not run" though an evacuated target may have run its request
    Then a request that may have run is not told that it has not when all targets are evacuated

  Scenario: Free slots of evacuated targets are counted
    Given an entry with 2 targets in each of two data centres
    When "z2" is evacuated
    Then its free slots are those of 2 targets

  Scenario: Idle ranks in an evacuated data centre lower the mean number of streams
    Given an entry with 2 targets in each of two data centres
    When "z2" is evacuated
    Then the limit on streams is updated with the 2 targets of "z1"

  Scenario: The end of an evacuation goes unnoticed
    Given an entry with 2 targets in each of two data centres
    When "z1,z2" is evacuated
    And "z1" is evacuated
    Then the hook was called once, with "z2" and the time
    And the gauge of evacuated data centres is 1

  Scenario: A target without a data centre is excluded, or lists are rebuilt without need
    Given an entry with 2 targets in each of two data centres
    Then its list of targets is that of the directory
    When "z9" is evacuated
    Then its list of targets stays the same object
    When "z2" is evacuated
    Then its shorter list of targets stays the same object
