Feature: Each group of ranks is its own unit of load

  Scenario: Entries learn which target is in which group
    Given a leader that hears from groups g0 and g1 of 4 ranks each
    When an entry gets the leader's list
    Then the entry finds the ranks of g0 and g1 in their groups
    And a target at an unlisted address is in neither

  Scenario: A rank that reports its group as not open closes only that group
    Given a leader that hears from groups g0 and g1 of 4 ranks each
    When the ranks of g1 report that it is not open
    And an entry gets the leader's list
    Then for the entry g0 is open and g1 is closed

  Scenario: Silence of all agents of a group doesn't close it
    Given a leader that hears from groups g0 and g1 of 4 ranks each
    When 30 seconds pass without a heartbeat
    And an entry gets the leader's list
    Then for the entry g0 is open and g1 is open

  Scenario: A list of an earlier term or an earlier list doesn't replace a newer one
    Given an entry with the list 3 of term 5, in which g1 is closed
    When lists 9 of term 4, 2 of term 5 and 3 of term 5 with g1 open arrive
    Then for the entry g0 is open and g1 is closed
    When list 1 of term 6 with g1 open arrives
    Then for the entry g0 is open and g1 is open

  Scenario: A new leader sends no list before it has heard from all agents
    Given a notifier of a leader that begins term 2 at 10 s
    When it hears of g0 at 10.2 s and of g1 at 11.0 s, with entries e1 and e2
    Then the first list has both groups and is sent once to e1 and e2

  Scenario: A list is sent on change, and once to an entry that has started
    Given a notifier that has sent a list to entries e1 and e2
    When nothing changes for 5 seconds
    Then nothing is sent
    When e2 starts again
    Then the same list is sent to e2 only
    When g1 closes
    Then a list with a higher sequence is sent to e1 and e2

  Scenario: A list with too many groups and ranks is cut, not refused
    When an entry gets a list of 100 groups of 300 ranks
    Then it holds 64 groups of 256 ranks

  Scenario: A list without the fields of a newer version is read
    When an entry gets a list that states only service, name and epoch
    Then the list is read, and its groups are open and without ranks

  Scenario: A service with one group has no units
    When an entry gets a list with one group of 4 ranks
    Then its ranks stand for the service
