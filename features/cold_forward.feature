Feature: An entry sends a cold target no more than its part of the rate

  Scenario: Requests go to warm targets while a cold target's rate is used up
    Given an entry whose service takes 4 requests a second while cold
    And 3 targets, the first of which is cold for 20 s
    When requests arrive for 6 s
    Then the first target gets between 10 and 30 requests
    And every caller is answered 200

  Scenario: Without a warm-up rate a cold target is chosen like any other
    Given an entry whose service takes 0 requests a second while cold
    And 3 targets, the first of which is cold for 20 s
    When requests arrive for 6 s
    Then the choice among the targets is the same as with no cold target
    And the metrics page names no cold targets

  Scenario: An entry that no leader has listed sends nothing to a cold target
    Given an entry whose service takes 4 requests a second while cold
    And 3 targets, the first of which is cold for 20 s
    But the entry hears from no leader
    When requests arrive for 6 s
    Then the first target gets between 0 and 0 requests
    And every caller is answered 200

  Scenario: With cold targets only, a request that can't be in time is refused at once
    Given an entry whose service takes 2 requests a second while cold
    And 1 targets, the first of which is cold for 20 s
    When 12 requests arrive at once after a pause
    Then some callers are answered 200, the others refused with a Retry-After

  Scenario: A target that turns cold while a connection is opened gets no uncounted request
    Given an entry whose service takes 4 requests a second while cold
    And 2 targets, the first of which is cold for 0 s
    But the entry hears from no leader
    When the first target turns cold after it was chosen for 6 requests
    Then the first target gets between 0 and 0 requests
    And every caller is answered 200

  Scenario: Targets of a data centre that returns are cold until their heartbeats
    Given an entry whose service takes 4 requests a second while cold
    And 2 targets, the first of which is cold for 0 s
    But the entry hears from no leader
    When the evacuation of the targets' data centre ends
    Then the entry may send to 0 targets
    When the targets send heartbeats 0.5 s later
    Then the entry may send to 2 targets

  Scenario: A cold target's free slots count only up to its rate
    Given an entry whose service takes 4 requests a second while cold
    And 2 targets, the first of which is cold for 20 s
    When 12 requests have been sent to the warm target
    Then the free slots are at most the requests that the cold target may get
