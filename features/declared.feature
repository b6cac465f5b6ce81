Feature: Whole configurations are kept by a quorum and never go back

  Scenario: Three control VMs found one log and take a configuration
    Given a site with 3 control VMs and 2 entries
    When version 2 is sent to each control VM
    Then every operator is told that version 2 is committed
    And every entry acts on version 2

  Scenario: No configuration is taken before every founding member has a seat
    Given a site with 3 control VMs of which only the first runs
    When version 2 is sent to the first control VM
    Then no operator is told anything but to ask again

  Scenario: The highest version wins and an overtaken one is acknowledged
    Given a calm site with version 9
    When version 5 is sent to "c2"
    Then every operator is told that version 9 is committed
    And every entry acts on version 9

  Scenario: The content that is held under a number wins
    Given a calm site with version 9
    When other content is sent as version 9 to "c3"
    Then a read at every control VM returns the first content of version 9

  Scenario: A cut-off control VM answers no read
    Given a calm site with version 9
    When "c3" is cut off from the other control VMs
    And 3 seconds pass at the site
    And "c3" is read
    Then the reader is told to ask again

  Scenario: A leader that froze before a newer version answers no old read
    Given a calm site with version 9
    When the leading control VM freezes
    And 4 seconds pass at the site
    And version 12 is committed by the others
    And the frozen control VM thaws and is read at once
    Then no read returned a version below 12

  Scenario: All control VMs restart and an entry that starts is served at once
    Given a calm site with version 9
    When all control VMs are killed and start again
    And a new entry starts
    And 0.6 seconds pass at the site
    Then the new entry acts on version 9

  Scenario: A wiped control VM comes back by a new seat
    Given a calm site with version 9
    When "c2" loses its disk and starts again
    And 6 seconds pass at the site
    Then 3 control VMs hold voting seats with their present disks
    And a read at every control VM returns the first content of version 9

  Scenario: A replacement at another address takes the seat of the lost one
    Given a calm site with version 9
    When "c3" is gone for good and "c4" starts with an empty disk
    And 8 seconds pass at the site
    Then the voting seats are "c1,c2,c4"

  Scenario: Control VMs that no seed names get seats as well
    Given a site with 6 control VMs of which two may be lost at once
    When version 2 is sent to "c6"
    Then every operator is told that version 2 is committed
    And 5 of 6 control VMs vote, one stands by, all with their present disks

  Scenario: Two of six disks are lost right after an acknowledgement
    Given a site with 6 control VMs of which two may be lost at once
    When version 2 is sent to "c1"
    And the leader and one more lose their disks while all lose power
    And 8 seconds pass at the site
    Then 5 of 6 control VMs vote, one stands by, all with their present disks
    And every control VM returns version 2

  Scenario: What two losses could take is not acknowledged
    Given a site with 6 control VMs of which only three run
    When version 2 is sent to "c1"
    Then no operator is told anything but to ask again
    And a while later version 2 is taken by the three

  Scenario Outline: Control VMs without a disk pass on what they are asked
    Given a site of 6 control VMs where "<without>" have no disk
    When version 2 is sent to each control VM
    Then every operator is told that version 2 is committed
    And every control VM returns version 2
    And every entry acts on version 2
    And the voting seats are "<seats>"

    Examples:
      | without  | seats    |
      | c4,c5,c6 | c1,c2,c3 |
      | c1,c2,c6 | c3,c4,c5 |
      | c1,c2,c3 | c4,c5,c6 |

  Scenario: Control VMs that no seed names soon know an agent that starts
    Given a site with 6 control VMs of which two may be lost at once
    When an agent starts
    And 0.5 seconds pass at the site
    Then every control VM knows the agent

  Scenario: A founder is named once, and nobody founds a second log
    Given a site of 6 control VMs where "c1,c2,c3" have no disk
    And a calm version 2
    When "c1" restarts
    And a copy of its word reaches "c5" and "c6"
    And 3 seconds pass at the site
    Then the voting seats are "c4,c5,c6"
    And every control VM returns version 2

  Scenario: A leaving target is known to a second control VM when it is told
    Given a calm site with version 9
    And a target that every control VM and entry knows
    When the target tells "c1" that it leaves
    And 0.3 seconds pass at the site
    Then the target has its acknowledgement
    And no entry would send to the target

  Scenario: A control VM that nobody else hears does not confirm a leaving
    Given a calm site with version 9
    And a target that every control VM and entry knows
    When "c1" is cut off from the other control VMs
    And the target tells "c1" that it leaves
    And 1 seconds pass at the site
    Then the target is told to ask another control VM

  Scenario: A late heartbeat does not bring a leaving target back
    Given a calm site with version 9
    And a target that every control VM and entry knows
    When the target tells "c1" that it leaves
    And a heartbeat sent before that reaches "c2"
    And 2 seconds pass at the site
    Then no entry would send to the target

  Scenario: Control VMs that all restarted learn again who had left
    Given a calm site with version 9
    And a target that every control VM and entry knows
    When the target tells "c1" that it leaves
    And 1 seconds pass at the site
    And all control VMs lose their side state, are killed and start again
    And a heartbeat sent before that reaches "c2"
    And 3 seconds pass at the site
    Then no entry would send to the target
    And a new entry would not send to the target either

  Scenario: A denial needs the leader's word that nothing newer exists
    Given a calm site with version 9
    Then every entry is certain of its configuration
    When every entry is cut off from all control VMs
    And 1.5 seconds pass at the site
    Then no entry is certain of its configuration

  Scenario: Promises hold under random schedules of faults
    When 60 random schedules of faults run on a site
    Then every promise held in each of them
