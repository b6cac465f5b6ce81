Feature: Callers are served again soon after a full power loss

  Scenario: A VM that starts slightly later than others is connected soon
    Given 6 VMs that are unreachable for 0.4 s when others connect
    When links connect with the default settings and without early reconnects
    Then the default takes less than 0.6 of the time

  Scenario Outline: What comes before the configuration is kept by an entry that has just started
    Given an entry that has run for <age> s and has no configuration
    When a request comes, and 0.5 s later the configuration
    Then the request is <outcome>

    Examples:
      | age | outcome         |
      | 0.2 | sent            |
      | 2.9 | sent            |
      | 4   | refused at once |

  Scenario Outline: What comes before any target is known is kept by an entry that has just started
    Given an entry that has run for <age> s and knows no targets
    When a request comes, and 0.5 s later a target
    Then the request is <outcome>

    Examples:
      | age | outcome         |
      | 0.2 | sent            |
      | 2.9 | sent            |
      | 4   | refused at once |

  Scenario Outline: The time for which a request was kept is not handed to its target
    Given an entry that has run for 0.2 s and <lacks>
    When a request comes, and 0.5 s later <what>
    Then its target is told of 0.5 s less than its caller waits

    Examples:
      | lacks                | what              |
      | has no configuration | the configuration |
      | knows no targets     | a target          |

  Scenario Outline: Nothing is kept for longer than its caller can use
    Given an entry that has run for 0.2 s and <lacks>
    When a request comes, and nothing else for <seconds> s
    Then the request is <outcome>

    Examples:
      | lacks                | seconds | outcome      |
      | has no configuration | 1.1     | still kept   |
      | has no configuration | 1.3     | refused late |
      | knows no targets     | 1.1     | still kept   |
      | knows no targets     | 1.3     | refused late |

  Scenario: Kept requests are bounded in number
    Given an entry that has run for 0.2 s and has no configuration
    When 600 requests come
    Then 512 of them are kept and the others are refused at once

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

  Scenario Outline: A crowd that is late already leaves room for those who come
    Given a group that begins anew, and <crowd> requests that are late already
    When <rate> requests a second come meanwhile for 3 s, over 20 seeds
    Then at least a quarter of them more are in time than without room for them
    And at least 0.98 of the crowd are served, at their second try at the latest

    Examples:
      | crowd | rate |
      | 60    | 20   |
      | 60    | 28   |
      | 90    | 20   |
      | 90    | 28   |

  Scenario: A few that are late already are all served
    Given a group that begins anew, and 30 requests that are late already
    When 20 requests a second come meanwhile for 3 s, over 20 seeds
    Then at least 0.99 of the crowd are served, at their second try at the latest

  Scenario Outline: Up to how many open requests one that is late gets a place
    Given 12 targets with 6 slots each, <group>
    Then one that is late gets a place while fewer than <most> are open

    Examples:
      | group                                     | most |
      | that make no passes together              | 61   |
      | whose passes are short                    | 61   |
      | whose passes allow 4 streams a target     | 40   |
      | that have shown no pass                   | 36   |

  Scenario Outline: Only those leave room who are late with nothing of their answer
    Given a queue with a request that is <state>
    When 2 places are free, of which none is for those who leave room
    Then the request that waits <goes>

    Examples:
      | state             | goes            |
      | late              | goes on waiting |
      | in time           | gets a place    |
      | late and resumed  | gets a place    |

  Scenario: The last free place goes to who resumes an answer, not to who is late
    Given an entry whose targets are all busy, where a first try waits until it is late
    When a request waits there that resumes an answer, and one place becomes free
    Then the one that resumes gets it

  Scenario Outline: Who is refused while groups still form waits at an entry that has just started
    Given an entry that has run for <age> s, whose targets refuse everything
    When 4 requests come, and 0.4 s later the targets accept again
    Then <served> of them are answered by targets and <refused> refused

    Examples:
      | age | served | refused |
      | 0.3 | 4      | 0       |
      | 4   | 0      | 4       |

  Scenario Outline: Targets that do not refuse what was sent have taken it
    Given 3 refusals within 0.1 s, and a request that is sent 0.1 s later
    When <seconds> s pass and it is <refused>
    Then the outage <outage>

    Examples:
      | seconds | refused     | outage        |
      | 0.03    | not refused | still lasts   |
      | 0.07    | not refused | seems to be over |
      | 0.03    | refused     | still lasts   |
      | 0.07    | refused     | still lasts   |

  Scenario: The first frame for a node waits until its connection is up
    Given 8 nodes without a connection to them
    When each of them is sent one frame
    Then each of them receives it

  Scenario: A frame for an unreachable node is dropped
    Given 8 nodes without a connection to them
    When each of them is sent one frame 0.5 s before it listens
    Then none of them receives it

  Scenario Outline: Who is late leaves room only at an entry that has just started
    Given an entry that has run for <age> s with one free place of six
    When a request comes that was late before it came
    Then it <goes> at once

    Examples:
      | age | goes        |
      | 0.5 | is not sent |
      | 4   | is sent     |
