Feature: Every entry in touch has an acknowledged configuration in force in time

  An order is acknowledged while an entry and the control VMs are in trouble. At
  every step and after every message: what an entry takes for current is not
  older than what was acknowledged 2 s before; no process goes back; an entry that
  was started or suspended serves nothing older; one that is in touch is current.

  Scenario Outline: In every state of the control VMs, an entry that <entry>
    When version 12 is acknowledged while an entry <entry>, for each state of the control VMs
    Then no entry has broken the rule

    Examples:
      | entry                                 |
      | ran on                                |
      | is started alone                      |
      | is started with its data centre       |
      | is started with all                   |
      | is on a new VM                        |
      | is on a reused address                |
      | is suspended and awakes               |
      | is deaf to the leader                 |
      | is deaf to one control VM             |
      | is deaf to all but one control VM     |
      | has a slow link                       |
      | gets late answers                     |

  Scenario Outline: <cases> drawn cases at <entries> entries
    When <cases> cases drawn with seed <seed> are run at <entries> entries
    Then no entry has broken the rule

    Examples:
      | entries | cases | seed |
      | 10      | 24    | 1    |
      | 103     | 6     | 2    |
      | 300     | 1     | 3    |

  # The operator gets its reply when the version is committed.
  Scenario Outline: A version is in force at <entries> entries soon after its acknowledgement
    Given a site of <entries> entries in three data centres
    When 5 versions are acknowledged one after the other
    Then each is in force everywhere within 1 s, and within 0.5 s at the median
    And entries that start anew are ready within 1 s

    Examples:
      | entries |
      | 3       |
      | 10      |
      | 103     |
      | 300     |

  Scenario: Two operators send different content under one version
    Given a site of 3 entries in three data centres
    When two operators send different content of version 20 at once
    Then all entries and reads have the same content of version 20

  Scenario: An order that is sent again changes nothing and is acknowledged
    Given a site of 3 entries in three data centres
    When version 20 is sent, then version 21, then version 20 again
    Then all orders are acknowledged and all entries have version 21
