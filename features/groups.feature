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
    When nothing changes for 1.9 s
    Then nothing is sent
    When e2 starts again
    Then the same list is sent to e2 only
    When g1 closes
    Then a list with a higher sequence is sent to e1 and e2

  Scenario: An entry that has missed a list never gets it
    Given a notifier that has sent a list to entries e1 and e2
    When nothing changes for 5 s
    Then the same list is sent 2 times to e1 and e2

  Scenario: A list with too many groups and ranks is cut, not refused
    When an entry gets a list of 100 groups of 300 ranks
    Then it holds 64 groups of 256 ranks

  Scenario: A list without the fields of a newer version is read
    When an entry gets a list that states only service, name and epoch
    Then the list is read, and its groups are open and without ranks

  Scenario: A service with one group has no units
    When an entry gets a list with one group of 4 ranks
    Then its ranks stand for the service

  # The replays without a list follow today's rule, one unit for the service.

  Scenario: A slow group makes the streams of the other group late
    Given groups of 24 ranks in one data centre, of which one is 1.8 times slower
    When 50 requests a second arrive for 12 s with and without the list
    Then without the list at most 0.8 are in time, and passes exceed 0.12 s
    And with the list at least 0.93 are in time, and no pass exceeds 0.12 s

  Scenario: A service with one group is served exactly as before
    Given one group of 24 ranks in one data centre
    When 60 requests a second arrive for 6 s with and without the list
    Then each request has the same outcome and target with and without it
    And the outcomes are those of the code before groups

  Scenario: A service without groups is served exactly as before
    Given three groups of 24 ranks in three data centres with 36 entries
    When 75 requests a second arrive for 4 s without the list
    Then the outcomes are those of the code before groups

  Scenario: One group loses a rank, and the whole service is taken for out
    Given an entry with groups g0 and g1 of 4 targets
    When the targets of g1 refuse, and 6 requests at once arrive for 4 s without the list
    Then some callers are refused
    When the targets of g1 refuse, and 6 requests at once arrive for 4 s with the list
    Then all callers but those of the first 0.5 s are answered 200
    And at most 12 requests a second reach g1, and at most 3 after the first second
    And the entry takes g1 for out, and neither g0 nor the service

  Scenario: A group that is listed as closed gets only probes
    Given an entry with groups g0 and g1 of 4 targets
    When the list closes g1, whose targets refuse, and requests arrive for 6 s
    Then every caller of a group is answered 200
    And between 8 and 13 requests reach g1

  Scenario: A group whose list entry is outdated is used again after a probe
    Given an entry with groups g0 and g1 of 4 targets
    When the list closes g1, whose targets accept, and requests arrive for 6 s
    Then every caller of a group is answered 200
    And at least 30 requests reach g1

  Scenario: A group that refused is used at once when it is listed as formed anew
    Given an entry with groups g0 and g1 of 4 targets
    When the targets of g1 refuse for 2 s and it is listed with a new epoch
    Then at least 15 requests reach g1 in the next second

  Scenario: All groups are closed by the list, whose leader is lost
    Given an entry with groups g0 and g1 of 4 targets
    When the list closes both groups, whose targets accept, and requests arrive for 2 s
    Then every caller of a group is answered 200

  Scenario: Probes of a closed group grow with the number of entries
    Given an entry with groups g0 and g1 of 4 targets, which knows of 40 entries
    When the list closes g1, whose targets refuse, and requests arrive for 6 s
    Then every caller of a group is answered 200
    And between 1 and 1 requests reach g1

  Scenario: A group that forms anew is flooded before its map fits
    Given a limit for a group of 24 ranks with 5 slots that has formed anew
    When 2.4 streams per rank run in passes of 0.05 s for 0.2 s
    Then it admits 1.25 streams per rank
    When 1.2 streams per rank run in passes of 0.16 s for 1 s
    Then it admits at most 1.25 streams per rank
    When 0.2 streams per rank run in passes of 0.03 s for 1 s
    Then it admits at most 1.25 streams per rank
    When 4.8 streams per rank run in passes of 0.05 s for 1.5 s
    Then it has no limit

  Scenario: The slow passes of one group don't limit another
    Given limits of a service whose group g1 makes passes of 0.15 s and g0 of 0.04 s
    Then g1 has a limit and g0 has none
    When g1 is no longer listed
    Then the limits hold g0 only

  Scenario Outline: The group for a request
    Given groups with this capacity and ranks: <groups>
    Then the next request goes to <chosen>

    Examples:
      | groups                                         | chosen |
      | a local 1/24, b distant 90/24                  | a      |
      | a local 0/24, b distant 9/24                   | b      |
      | a local 6/24, b local 5/8                      | b      |
      | a local 0/24, b distant 9/24, c distant 10/24  | c      |
      | a local -3/24, b distant 9/24 without allowance | none  |
      | a local 1/24, b unlisted 4/4                   | a      |
      | a local 0/24, b unlisted 4/4                   | b      |

  Scenario Outline: An entry fills only its part of a distant group's capacity
    Given an entry of 43 that sends requests to a distant group for 3 s
    When reports show <headroom>
    Then between <least> and <most> requests are sent

    Examples:
      | headroom                | least | most |
      | capacity for 43 streams | 9     | 11   |
      | capacity for 86 streams | 18    | 22   |
      | capacity for 0 streams  | 0     | 0    |
      | nothing                 | 5     | 7    |

  Scenario: The load of a group is extrapolated from the ranks that reported
    Given 24 ranks with 5 slots, of which 3 report 4 streams that no entry has told of
    Then the estimate is 96 open requests and 24 free slots
    When the reports are 2 s old
    Then the estimate is 0 open requests and 120 free slots

  Scenario Outline: A group without targets keeps a service from being out, or unlisted targets don't count
    Given lists of groups in which <closed> are closed, and targets of <present>
    Then the service is <state>

    Examples:
      | closed | present     | state   |
      | g0,g1  | g0,g1       | out     |
      | g0,g1  | g0,unlisted | not out |
      | g1     | g1          | out     |
      | g1     | g0,g1       | not out |
