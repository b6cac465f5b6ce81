Feature: Configurations are replicated and never revert to an older version

  Scenario: Three control VMs bootstrap one log and accept a configuration
    Given a site with 3 control VMs and 2 entries
    When version 2 is sent to each control VM
    Then every operator gets the reply that version 2 is committed
    And every entry applies version 2

  Scenario: No configuration is accepted before every initial member has a seat
    Given a site with 3 control VMs of which only the first runs
    When version 2 is sent to the first control VM
    Then every operator is told to retry

  Scenario: The highest version wins and a lower one is acknowledged
    Given a site with committed version 9
    When version 5 is sent to "c2"
    Then every operator gets the reply that version 9 is committed
    And every entry applies version 9

  Scenario: The first content of a version wins
    Given a site with committed version 9
    When other content is sent as version 9 to "c3"
    Then a read at every control VM returns the first content of version 9

  Scenario: A cut-off control VM answers no read
    Given a site with committed version 9
    When "c3" is cut off from the other control VMs
    And 3 seconds pass at the site
    And "c3" is read
    Then the reader is told to retry

  Scenario: A leader frozen before a newer version returns no outdated read
    Given a site with committed version 9
    When the leader freezes
    And 4 seconds pass at the site
    And another leader commits version 12
    And the frozen control VM resumes and is read at once
    Then no read returned a version below 12

  Scenario: A new entry gets the configuration soon after all control VMs restart
    Given a site with committed version 9
    When all control VMs restart
    And a new entry starts
    And 0.6 seconds pass at the site
    Then the new entry applies version 9

  Scenario: A wiped control VM gets a new seat
    Given a site with committed version 9
    When "c2" loses its disk and starts again
    And 6 seconds pass at the site
    Then 3 control VMs hold voting seats with their current disks
    And a read at every control VM returns the first content of version 9

  Scenario: A replacement at another address takes the seat of the lost one
    Given a site with committed version 9
    When "c3" is lost and "c4" starts with an empty disk
    And 8 seconds pass at the site
    Then the voting seats are "c1,c2,c4"

  Scenario: Control VMs that are not among the seeds get seats as well
    Given a site with 6 control VMs that tolerates the loss of two
    When version 2 is sent to "c6"
    Then every operator gets the reply that version 2 is committed
    And 5 of 6 control VMs are voters and one is a learner, all with their current disks

  Scenario: An acknowledged version survives the loss of two of six disks
    Given a site with 6 control VMs that tolerates the loss of two
    When version 2 is sent to "c1"
    And all control VMs lose power and the leader and another one their disks
    And 8 seconds pass at the site
    Then 5 of 6 control VMs are voters and one is a learner, all with their current disks
    And every control VM returns version 2

  Scenario: A version that two losses could destroy is not acknowledged
    Given a site with 6 control VMs of which only three run
    When version 2 is sent to "c1"
    Then every operator is told to retry
    And the three accept version 2 5 s later

  Scenario Outline: Control VMs without a disk forward requests to the leader
    Given a site of 6 control VMs where "<without>" have no disk
    When version 2 is sent to each control VM
    Then every operator gets the reply that version 2 is committed
    And every control VM returns version 2
    And every entry applies version 2
    And the voting seats are "<seats>"

    Examples:
      | without  | seats    |
      | c4,c5,c6 | c1,c2,c3 |
      | c1,c2,c6 | c3,c4,c5 |
      | c1,c2,c3 | c4,c5,c6 |

  Scenario: Control VMs that are not among the seeds soon know a new agent
    Given a site with 6 control VMs that tolerates the loss of two
    When an agent starts
    And 0.5 seconds pass at the site
    Then every control VM knows the agent

  Scenario: Only one control VM bootstraps a log
    Given a site of 6 control VMs where "c1,c2,c3" have no disk
    And version 2 is committed
    When "c1" restarts
    And its bootstrap request reaches "c5" and "c6"
    And 3 seconds pass at the site
    Then the voting seats are "c4,c5,c6"
    And every control VM returns version 2

  Scenario: A draining target is acknowledged once a second control VM knows it
    Given a site with committed version 9
    And a target that every control VM and entry knows
    When the target reports to "c1" that it is draining
    And 0.3 seconds pass at the site
    Then the target gets its acknowledgement
    And no entry routes requests to the target

  Scenario: An isolated control VM does not acknowledge a draining target
    Given a site with committed version 9
    And a target that every control VM and entry knows
    When "c1" is cut off from the other control VMs
    And the target reports to "c1" that it is draining
    And 1 seconds pass at the site
    Then the target gets no acknowledgement

  Scenario: A delayed heartbeat does not reactivate a draining target
    Given a site with committed version 9
    And a target that every control VM and entry knows
    When the target reports to "c1" that it is draining
    And an older heartbeat of the target reaches "c2"
    And 2 seconds pass at the site
    Then no entry routes requests to the target

  Scenario: Control VMs learn again which targets drain after they all restart
    Given a site with committed version 9
    And a target that every control VM and entry knows
    When the target reports to "c1" that it is draining
    And 1 seconds pass at the site
    And all control VMs restart without their soft state
    And an older heartbeat of the target reaches "c2"
    And 3 seconds pass at the site
    Then no entry routes requests to the target
    And a new entry does not route requests to the target either

  Scenario: Entries confirm their configuration only while they reach the leader
    Given a site with committed version 9
    Then every entry can confirm its configuration
    When every entry is cut off from all control VMs
    And 1.5 seconds pass at the site
    Then no entry can confirm its configuration

  Scenario: Guarantees hold under random schedules of faults
    When 60 random schedules of faults run on a site
    Then no schedule broke a guarantee
