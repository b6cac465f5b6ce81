Feature: A configuration is current only as of a confirmation by the leader

  # Guards against dating a confirmation by its arrival.
  Scenario: A confirmation that waited in a socket proves nothing newer
    Given an entry with version 9, confirmed at 100 s
    When an answer to its heartbeat of 100.5 s arrives at 104 s
    Then its version is not current at 104 s

  # Guards against answers to an earlier process at a reused address.
  Scenario: An answer to another process at the address confirms nothing
    Given an entry with version 9, confirmed at 100 s
    When a confirmation arrives at 104 s in answer to a heartbeat that it never sent
    Then its version is not current at 104 s

  Scenario: A control VM that does not lead passes a confirmation on with its age
    Given an entry with version 9, confirmed at 100 s
    When an answer at 104 s to its last heartbeat states an age of 1 s
    Then its version is current at 104 s, as of 1 s before that heartbeat

  # Guards against an answer that counts the version of its sender.
  Scenario: Hearing from control VMs without a confirmation proves nothing
    Given an entry with version 9, confirmed at 100 s
    When 5 control VMs answer its heartbeats until 104 s, all with version 9
    Then its version is not current at 104 s

  Scenario Outline: What an entry does when it can't know
    Given an entry with version 9, confirmed at 100 s
    When it <heard> until <until> s
    Then an allowed request at <until> s is <allowed> and a denial is <denial>

    Examples:
      | heard                                    | until | allowed | denial  |
      | asks in vain                             | 101.4 | served  | final   |
      | asks in vain                             | 101.6 | refused | refused |
      | asks in vain                             | 102.5 | refused | refused |
      | asks in vain                             | 160.0 | refused | refused |
      | asks one connected control VM in vain    | 101.6 | refused | refused |
      | asks three connected control VMs in vain | 101.4 | served  | final   |
      | asks three connected control VMs in vain | 101.6 | refused | refused |
      | hears of version 10                      | 101.4 | served  | refused |
      | hears of version 10                      | 103.0 | refused | refused |
      | was suspended                            | 110.0 | held    | held    |
      | asked and was suspended                  | 110.0 | held    | held    |
      | was suspended and asked again            | 110.0 | refused | refused |

  # Guards against a lone entry that goes on by the version that it holds.
  Scenario Outline: Without control VMs an entry acts with a majority of the VMs
    Given an entry with version 9, confirmed at 100 s, at a site of 11 VMs
    When no control VM is heard and <others> of the others answer until <until> s
    Then an allowed request at <until> s is <allowed> and a denial is <denial>

    Examples:
      | others                                  | until | allowed | denial  |
      | 0                                       | 101.4 | served  | final   |
      | 0                                       | 101.6 | refused | refused |
      | 0                                       | 160.0 | refused | refused |
      | 4                                       | 101.6 | refused | refused |
      | 4                                       | 160.0 | refused | refused |
      | 5                                       | 101.6 | served  | refused |
      | 8                                       | 160.0 | served  | refused |
      | 8, and one control VM is connected,     | 103.0 | refused | refused |
      | 8, one with version 10,                 | 103.0 | refused | refused |
      | 8, one with newer evacuations,          | 103.0 | refused | refused |
      | 1, which is current,                    | 103.0 | served  | final   |
      | 1, which was current 1.6 s before,      | 103.0 | refused | refused |
      | 1, current, which answers 2 s late,     | 105.0 | refused | refused |
      | 8, which answer 1.1 s late,             | 105.0 | refused | refused |
      | 8, to questions of an earlier process,  | 105.0 | refused | refused |
      | 8, and then nobody for 1.1 s,           | 105.0 | refused | refused |

  # Guards against a cut in which all that can't be heard are forgotten.
  Scenario: VMs that are no longer listed are forgotten by a current entry only
    Given an entry with version 9, confirmed at 100 s, at a site of 11 VMs
    When 6 of the others are no longer listed and it is current until 140 s
    And only the last 4 of the others answer until 142 s
    Then an allowed request at 142 s is served and a denial is refused

  Scenario: VMs that have just left the list still count
    Given an entry with version 9, confirmed at 100 s, at a site of 11 VMs
    When 6 of the others are no longer listed and it is current until 105 s
    And only the last 4 of the others answer until 107 s
    Then an allowed request at 107 s is refused and a denial is refused

  Scenario: On a large site an even sample of the VMs is asked and counted
    Given an entry that knows 300 VMs of three data centres
    Then it asks 64 of them, 21 or 22 of each data centre

  Scenario: An entry that was never confirmed since its start serves nothing
    Given an entry with version 9 that nobody has confirmed
    Then an allowed request at 200 s is not decided

  Scenario Outline: A request that is admitted keeps no outdated route
    Given a forwarder with a <kind> request that <state>
    When a version comes into force that <change>
    Then the request is <outcome>

    Examples: Requests that wait for a target
      | kind    | state   | change                     | outcome                |
      | plain   | waits   | moves its route            | run by the new service |
      | stream  | waits   | moves its route            | run by the new service |
      | resumed | waits   | moves its route            | run by the new service |
      | plain   | waits   | gives its service weight 0 | run by the new service |
      | stream  | waits   | gives its service weight 0 | run by the new service |
      | plain   | waits   | drops its route            | answered 404           |
      | stream  | waits   | drops its route            | answered 404           |
      | resumed | waits   | drops its route            | answered 404           |
      | plain   | waits   | revokes its key            | answered 401           |
      | plain   | waits   | adds another route and key | run by its service     |

    # Guards against a version that changes while a connection is opened.
    Examples: Requests whose connection to a target is being opened
      | kind    | state    | change                     | outcome                |
      | plain   | connects | moves its route            | run by the new service |
      | stream  | connects | moves its route            | run by the new service |
      | plain   | connects | gives its service weight 0 | run by the new service |
      | plain   | connects | drops its route            | answered 404           |
      | plain   | connects | revokes its key            | answered 401           |
      | plain   | connects | adds another route and key | run by its service     |

    Examples: Requests whose first target broke off
      | kind    | state   | change                     | outcome                |
      | plain   | repeats | moves its route            | run by the new service |
      | stream  | repeats | moves its route            | run by the new service |
      | plain   | repeats | gives its service weight 0 | run by the new service |
      | stream  | repeats | gives its service weight 0 | run by the new service |
      | plain   | repeats | drops its route            | answered 502           |
      | plain   | repeats | revokes its key            | answered 502           |

    # Guards against a stream that is joined from two services.
    Examples: Streams whose target broke off midway
      | kind    | state          | change             | outcome                |
      | stream  | repeats midway | moves its route    | broken off visibly     |
      | stream  | repeats midway | drops its route    | broken off visibly     |
      | stream  | repeats midway | gives its service weight 0 | broken off visibly |

    Examples: Requests held until the configuration is known
      | kind    | state   | change                     | outcome                |
      | plain   | is held | moves its route            | run by the new service |
      | stream  | is held | moves its route            | run by the new service |
      | plain   | is held | drops its route            | answered 404           |
      | plain   | is held | revokes its key            | answered 401           |
      | plain   | is held | adds another route and key | run by its service     |

  # Guards against requests that are sent by a version known to be outdated.
  Scenario Outline: A <kind> request that <state> is not sent by an outdated version
    Given a forwarder with a <kind> request that <state>
    When a newer version is announced and does not arrive
    Then the request is <outcome>

    Examples:
      | kind    | state          | outcome                                          |
      | plain   | waits          | refused with the code configuration_unconfirmed  |
      | stream  | waits          | refused with the code configuration_unconfirmed  |
      | resumed | waits          | refused with the code configuration_unconfirmed  |
      | plain   | repeats        | answered 502                                     |
      | stream  | repeats        | answered 502                                     |
      | stream  | repeats midway | broken off visibly                               |

  # Guards against requests that were admitted before a suspension.
  Scenario Outline: A <kind> request that <state> is not sent before the configuration is known
    Given a forwarder with a <kind> request that <state>
    When the entry awakes and then gets a version that <change>
    Then the request is <outcome>

    Examples:
      | kind    | state   | change                     | outcome                |
      | plain   | waits   | moves its route            | run by the new service |
      | stream  | waits   | moves its route            | run by the new service |
      | resumed | waits   | drops its route            | answered 404           |
      | plain   | waits   | revokes its key            | answered 401           |
      | plain   | waits   | adds another route and key | run by its service     |
      | plain   | repeats | moves its route            | run by the new service |
      | stream  | repeats | moves its route            | run by the new service |
      | plain   | repeats | drops its route            | answered 502           |

  # Guards against confirmations that outlive their time on a clock that was set.
  Scenario: Confirmations are void once the steady clocks of an entry part
    Given an entry with version 9, confirmed at 100 s
    When its steady clocks part at 100.2 s
    Then it is AWAITING, and an answer to a heartbeat of 100 s does not count
    And an answer to a heartbeat that it sends after that does

  Scenario Outline: Clocks are compared by what they gain between two readings
    Given two steady clocks that differ by 1000 s
    When the one that counts suspensions gains <gain> s, and a reading <reading>
    Then a step of <step> s is found

    Examples:
      | gain | reading                    | step |
      | 0    | is undisturbed             | 0    |
      | 3    | is undisturbed             | 3    |
      | -3   | is undisturbed             | -3   |
      | 0    | is preempted for 1 s once  | 0    |
      | 0    | is always preempted        | 0    |
