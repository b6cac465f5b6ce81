Feature: Callers are served again soon after a full power loss

  Scenario: A VM that starts slightly later than others is connected soon
    Given 6 VMs that are unreachable for 0.4 s when others connect
    When links connect with the default settings and without early reconnects
    Then the default takes less than 0.6 of the time

  Scenario Outline: An entry that has just started holds requests until its configuration arrives
    Given an entry that has run for <age> s and has no configuration
    When a request arrives, and 0.5 s later the configuration
    Then the request is <outcome>

    Examples:
      | age | outcome         |
      | 0.2 | sent            |
      | 2.9 | sent            |
      | 4   | refused at once |

  Scenario Outline: An entry that has just started holds requests until it knows a target
    Given an entry that has run for <age> s and knows no targets
    When a request arrives, and 0.5 s later a target
    Then the request is <outcome>

    Examples:
      | age | outcome         |
      | 0.2 | sent            |
      | 2.9 | sent            |
      | 4   | refused at once |

  Scenario Outline: The time for which a request was held is deducted for its target
    Given an entry that has run for 0.2 s and <lacks>
    When a request arrives, and 0.5 s later <what>
    Then its target receives a remaining time 0.5 s shorter

    Examples:
      | lacks                | what              |
      | has no configuration | the configuration |
      | knows no targets     | a target          |

  Scenario Outline: A request is held only for as long as its caller waits
    Given an entry that has run for 0.2 s and <lacks>
    When a request arrives, and nothing else for <seconds> s
    Then the request is <outcome>

    Examples:
      | lacks                | seconds | outcome      |
      | has no configuration | 1.1     | still held   |
      | has no configuration | 1.3     | refused late |
      | knows no targets     | 1.1     | still held   |
      | knows no targets     | 1.3     | refused late |

  Scenario: The number of held requests is bounded
    Given an entry that has run for 0.2 s and has no configuration
    When 600 requests arrive at once
    Then 512 of them are held and the others are refused at once

  Scenario Outline: A leader is elected soon after all voters restart
    Given <count> voters that lose power and start again within 0.15 s, 60 times
    Then the median time from the last start to a leader is at most 0.65 s
    And the longest is at most 1.2 s

    Examples:
      | count |
      | 3     |
      | 5     |
      | 6     |

  Scenario: A leader is elected soon although the previous leader lost its disk
    Given 5 voters that lose power and start again, the leader with a wiped disk, 60 times
    Then the median time from the last start to a leader is at most 0.65 s
    And the longest is at most 1.2 s

  Scenario: A restarted voter does not depose a leader whose lease it acknowledged
    Given 3 voters of which one is cut off from the leader and the other restarts repeatedly, for 200 seeds
    Then no two of them held a lease at the same time

  Scenario Outline: Many late requests leave slots for new requests
    Given a group that has restarted, and <late> late requests
    When <rate> new requests a second arrive for 3 s, over 20 seeds
    Then the share of new requests in time is at least 25 points higher than without a limit for late ones
    And at least 0.98 of the late requests are served, at the latest on a retry

    Examples:
      | late  | rate |
      | 60    | 20   |
      | 60    | 28   |
      | 90    | 20   |
      | 90    | 28   |

  Scenario: A few late requests are all served
    Given a group that has restarted, and 30 late requests
    When 20 new requests a second arrive for 3 s, over 20 seeds
    Then at least 0.99 of the late requests are served, at the latest on a retry

  Scenario Outline: Number of open requests up to which a late one is admitted
    Given 12 targets with 6 slots each, <group>
    Then a late request gets a slot while fewer than <most> are open

    Examples:
      | group                                     | most |
      | that run no passes together               | 61   |
      | whose passes are short                    | 61   |
      | whose passes allow 4 streams a target     | 40   |
      | that have shown no pass                   | 36   |

  Scenario Outline: Only late requests without a part of their answer wait
    Given a queue with a request that is <state>
    When 2 slots are free, of which none is for late requests
    Then the waiting request <outcome>

    Examples:
      | state             | outcome         |
      | late              | still waits     |
      | in time           | gets a slot     |
      | late and resumed  | gets a slot     |

  Scenario: The last free slot goes to a resumed request, not to a late one
    Given an entry whose targets are all busy, where a first attempt waits until it is late
    When a request that resumes an answer waits too, and one slot becomes free
    Then the request that resumes gets it

  Scenario Outline: An entry that has just started holds requests while groups still form
    Given an entry that has run for <age> s, whose targets refuse requests
    When 4 requests arrive, and 0.4 s later the targets accept
    Then <served> of them are answered by targets and <refused> refused

    Examples:
      | age | served | refused |
      | 0.3 | 4      | 0       |
      | 4   | 0      | 4       |

  Scenario: An entry that has just started does not ask for a retry with every tick
    Given an entry that has run for 0.3 s, whose targets refuse requests
    When 4 requests are refused, and 0.6 s pass without retries
    Then between 4 and 20 retries have been denied

  Scenario Outline: A request that is not refused soon has been accepted
    Given 3 refusals within 0.1 s, and a request that is sent 0.1 s later
    When <seconds> s pass and it is <refused>
    Then the outage <outage>

    Examples:
      | seconds | refused     | outage      |
      | 0.03    | not refused | still lasts |
      | 0.07    | not refused | seems over  |
      | 0.03    | refused     | still lasts |
      | 0.07    | refused     | still lasts |

  Scenario: The first frame for a node waits until its connection is up
    Given 8 nodes without a connection to them
    When each of them is sent one frame
    Then each of them receives it

  Scenario: A frame for an unreachable node is dropped
    Given 8 nodes without a connection to them
    When each of them is sent one frame 0.5 s before it listens
    Then none of them receives it

  Scenario Outline: Late requests are limited only at an entry that has just started
    Given an entry that has run for <age> s with one free slot of six
    When a request arrives that is already late
    Then it <goes> at once

    Examples:
      | age | goes        |
      | 0.5 | is not sent |
      | 4   | is sent     |
