Feature: An order is acknowledged once it is in force

  # Guards against first requests after an acknowledgement by an older version.
  Scenario Outline: No entry acts on an older version once a newer is acknowledged
    Given a site of five control VMs and four entries that holds version 12
    And <what>
    When an operator sends version 13 until it is acknowledged
    Then it was acknowledged within <seconds> s
    And no entry has acted on version 12 as current since

    Examples: each entry hears the leader
      | what                                                   | seconds |
      | nothing else happens                                   | 0.15    |
      | an entry has just started                              | 0.4     |

    Examples: entries that don't hear of the version
      | what                                                   | seconds |
      | an entry is suspended                                  | 2.0     |
      | an entry is cut off from all control VMs               | 2.0     |
      | an entry hears nothing and is heard                    | 2.0     |
      | an entry is heard by nobody                            | 2.0     |
      | an entry's process has ended                           | 2.0     |

    Examples: confirmations that are passed on
      | what                                                   | seconds |
      | an entry hears one control VM that does not lead       | 2.0     |
      | an entry hears one control VM, which is then cut off   | 2.0     |
      | an entry hears one control VM, which then restarts     | 2.0     |
      | an entry hears one control VM, which then ends         | 2.0     |
      | an entry is cut off as its only control VM restarts    | 2.0     |
      | an entry hears one control VM without a disk           | 2.0     |
      | an entry confirms its version by a majority            | 2.0     |

    Examples: another leader
      | what                                                   | seconds |
      | the leader has just handed over                        | 2.0     |
      | the leader has just been replaced                      | 4.0     |

  Scenario: A version that the last leader committed is acknowledged by the next once it is in force
    Given a site of five control VMs and four entries that holds version 12
    And an entry hears one control VM that does not lead
    When the leader ends right after the commit of version 13
    And an operator sends version 13 until it is acknowledged
    Then no entry has acted on version 12 as current since

  Scenario: A new leader knows nobody whom the last one gave a confirmation
    Given a control VM that begins to lead a log with version 12
    When it commits version 13 at once and knows of no entry
    Then version 13 is in force only after 1.5 s

  Scenario: An acknowledgement names the entries and control VMs that were not heard
    Given a site of five control VMs and four entries that holds version 12
    And an entry is cut off from all control VMs
    And a control VM that does not lead is suspended
    When an operator sends version 13 until it is acknowledged
    Then the record names the entry as expired and the control VM as not heard

  Scenario: An order that is overtaken is acknowledged with the higher version
    Given a site of five control VMs and four entries that holds version 12
    When versions 13 and 14 are sent to the leader at once
    Then both are acknowledged once version 14 is in force

  # Guards against acknowledgements that hold up the next ones.
  Scenario: Versions that follow each other are acknowledged beside a silent entry
    Given a site of five control VMs and four entries that holds version 12
    And an entry is cut off from all control VMs
    When twenty versions are sent 0.2 s apart
    Then each is acknowledged within 2 s, and the last ones at once
