Feature: Requests that an older version let through are named

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
