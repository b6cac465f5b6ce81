Feature: Requests that an older version let through are named

  # Guards against an audit that finds nothing since it can't date a commit.
  Scenario: A request whose successor has no known age is counted
    Given a request by a dropped key that version 9 let through 2.5 s after version 12 was committed
    And nobody has stated when version 12 was committed
    When version 12, which drops the key and moves the route, comes into force
    Then the audit counts one request that it can't date

  Scenario: A control VM that has just learned of an old commit does not call it young
    Given a request by a dropped key that version 9 let through 2.5 s after version 12 was committed
    And only a control VM that has just started states the age of version 12
    When version 12, which drops the key and moves the route, comes into force
    Then the audit counts one request that it can't date

  Scenario Outline: A control VM <where> does not date what it did not see committed
    Given a site of three control VMs that holds version 12
    When version 13 is committed while a control VM <where>
    Then the age that it states of version 13 is <known>

    Examples:
      | where                | known     |
      | is in touch          | known     |
      | is cut off           | uncertain |
      | has an empty disk    | unbounded |

  # Guards against entries whose decisions differ from the version held.
  Scenario Outline: A request that the version in force can't have let through is reported
    Given an entry that has put version 12 into force
    When it sends a request <how>
    Then the audit is called at once and reports it as <finding>

    Examples:
      | how                                            | finding       |
      | by the index of version 9 while 12 counts as held | OTHER_VERSION |
      | by a key that version 12 does not have         | NOT_ALLOWED   |
      | to a service that version 12 does not give the route | NOT_ALLOWED |
      | that version 9 let through long ago            | OUTDATED      |

  # Guards against an entry with other content under the same number.
  Scenario: The content in force at an entry is compared with the log
    Given a site of three control VMs that holds version 12
    When an entry reports version 12 with other content
    Then its control VM says that the entry has other content

  # Guards against evidence that ends with the process of an entry.
  Scenario: An entry that starts anew is recorded with the version that it had
    Given a site of three control VMs that holds version 12
    When an entry ends, version 13 is committed, and the entry starts again
    Then a control VM records that the entry had version 12 and that 13 is newer

  Scenario: An entry whose version stays outdated is recorded
    Given a site of three control VMs that holds version 12
    When an entry keeps version 12 for 3 s after version 13 was committed
    Then a control VM records that the entry holds version 12

  # Guards against an acknowledged version that the log loses unnoticed.
  Scenario: A version that was acknowledged and is not in the log is recorded
    Given a site of three control VMs that holds version 12
    And an operator was told that version 99 is in force
    When the leader has run for a second
    Then every control VM records that version 99 is lost

  # Guards against a record that does not show which versions decided a request.
  Scenario Outline: A request is matched again once a newer version is in force
    Given a request by <what> that version 9 let through <late> s after version 12 was committed
    When version 12, which drops the key and moves the route, comes into force
    Then the audit <reports> the request

    Examples:
      | what                      | late | reports        |
      | a dropped key             | 2.5  | reports        |
      | a dropped key             | 1.9  | does not report |
      | a kept key                | 2.5  | does not report |
      | a key of another customer | 2.5  | reports        |
      | a moved route             | 2.5  | reports        |

  Scenario: A report names versions, key, route, standing and confirmation
    Given a request by a dropped key that version 9 let through 2.5 s after version 12 was committed
    When version 12, which drops the key and moves the route, comes into force
    Then the report names versions 9 and 12, the route, a label of the key, its standing and who confirmed version 9
    And the key itself is in no report

  Scenario: A request is reported once
    Given a request by a dropped key that version 9 let through 2.5 s after version 12 was committed
    When version 12, which drops the key and moves the route, comes into force
    And version 13 with the same content comes into force
    Then the audit does not report the request again

  Scenario: A commit that an entry hears of late is dated by the request for its content
    When the content of version 12 is requested at 100 s and its age of 3 s arrives at 102 s
    Then version 12 was committed between 97 s and 99 s

  Scenario: Of several control VMs the one that learned of a commit first counts
    When control VMs state ages of 3 s and 0.5 s of version 12 at 100 s
    Then version 12 was committed between 97 s and 97 s

  Scenario: The commit of a version in between counts for an entry that missed it
    Given a request by a dropped key that version 9 let through 2.5 s after version 11 was committed
    When version 12, which drops the key and moves the route, comes into force
    Then the audit reports the request
