Feature: Every control VM knows the orders that were acknowledged last

  # Guards against an acknowledgement that can't be told from what the log holds.
  Scenario Outline: An acknowledged order is recorded at every control VM
    Given a site that holds version 12 with one content
    When an operator sends version <version> with <content> content
    Then every control VM records that it was acknowledged, by whom, and that it is <effect>
    And its line is <level>

    Examples:
      | version | content  | effect        | level     |
      | 12      | the same | in_force      | no warning |
      | 12      | other    | other_content | a warning |
      | 11      | other    | overtaken     | a warning |
      | 13      | other    | in_force      | no warning |

  # Guards against a lost revocation that nobody is told of.
  Scenario: An order that races with a higher one is recorded as overtaken
    Given a site that holds version 12 with one content
    When versions 13 and 14 reach the leader at once, the higher one first
    Then every control VM records version 13 as overtaken

  Scenario: Entries that lack a version when it is acknowledged are named
    Given a site that holds version 12 with one content
    And an entry that hears nothing any more
    When an operator sends version 13 with other content
    Then every control VM records that it lacks version 13

  # Guards against an acknowledgement that ends with its process unrecorded.
  Scenario: An order is written to the log before the operator is answered
    Given a site that holds version 12 with one content
    When an operator sends version 13 with other content
    Then its control VM records it, tells the others, and then answers
    And a deployed control VM writes the line at once

  # Guards against evidence that ends with the processes.
  Scenario Outline: A control VM <where> repeats the last orders after a start
    Given a site that holds version 12 with one content
    When an operator sends version 13 with other content
    And a control VM <where> ends and starts again
    Then it records version 13 again, as acknowledged before its start

    Examples:
      | where          |
      | with a disk    |
      | without a disk |

  Scenario: Stored state of another release does not keep a control VM from starting
    Given a site that holds version 12 with one content
    When a control VM starts with the soft state of another release
    Then it says so and holds version 12

  Scenario: The first 200 characters of a line identify an order
    Given a record of an order whose version an entry lacks
    When control VMs with names of 20 characters log it, before and after a start
    Then 200 characters of each line have version, content, control VM and entries
