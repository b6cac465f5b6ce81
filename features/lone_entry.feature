Feature: An entry whose confirmation has expired acts only with a majority of the site

  Each VM has an entry; three of eleven have a control VM with a disk.

  # Guards against a lone entry that acts by an old version while the others
  # go on.
  Scenario: An entry that is cut off from all VMs acts on no older version
    Given a site of eleven VMs with version 9 in force
    When one VM is cut off from all others and version 12 is acknowledged without it
    Then its entry lets no request through by version 9 later than 1.5 s after the cut
    And it is closed to callers, as isolated

  Scenario Outline: A cut between <some> VMs and the others
    Given a site of eleven VMs with version 9 in force
    When <some> VMs without a disk are cut off from the others for 5 s
    Then the entries of these VMs are <standing>
    And the other entries are CURRENT

    Examples:
      | some | standing    |
      | 1    | ISOLATED    |
      | 4    | ISOLATED    |
      | 5    | ISOLATED    |
      | 6    | UNCONFIRMED |
      | 8    | UNCONFIRMED |

  Scenario: All VMs with a disk are lost
    Given a site of eleven VMs with version 9 in force
    When all VMs with a disk are lost for 5 s
    Then the entries of the other VMs are UNCONFIRMED

  Scenario Outline: Control VMs <state>, entries hear each other
    Given a site of eleven VMs with version 9 in force
    When one entry is cut off from all control VMs <state>
    Then its confirmation comes from another entry
    And its standing is CURRENT

    Examples:
      | state                |
      | and hears the others |
      | and hears one other  |

  # Guards against a confirmation that the leader knows nothing of.
  Scenario Outline: An order waits for entries that <how>
    Given a site of eleven VMs with version 9 in force
    And one entry is cut off from all control VMs <how>
    When version 12 is sent until it is acknowledged
    Then no entry acts on version 9 as current since
    And it was acknowledged 0.3 to 1.6 s after it was sent

    Examples:
      | how                                            |
      | and hears one other                            |
      | and hears one other that hears only the leader |

  Scenario: A version that another entry has stops the old one
    Given a site of eleven VMs with version 9 in force
    And one entry is cut off from all control VMs and hears one other
    When version 12 is sent until it is acknowledged
    And 2 s pass at the eleven VMs
    Then the entry that is cut off from control VMs is OUTDATED

  Scenario: Entries that hear a majority after a cut are current at once
    Given a site of eleven VMs with version 9 in force
    When one VM is cut off from all others and version 12 is acknowledged without it
    And the cut ends
    And 1 s pass at the eleven VMs
    Then all entries are CURRENT with version 12
