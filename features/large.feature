Feature: Work and traffic depend on changes, not on the size of a site

  Scenario: A change is sent to each entry once, without any full list
    Given a stable site with 5 control VMs, 40 entries and 30 targets
    When one target leaves and 3 seconds pass
    Then no full list of targets has been sent
    And no entry lists the target as serving

  Scenario: An entry that missed a change gets the full list
    Given a stable site with 5 control VMs, 40 entries and 30 targets
    When one target leaves, entry "e7" misses the change, and 3 seconds pass
    Then no entry lists the target as serving
    And only entry "e7" has received a full list of targets

  Scenario: Many targets leave one after the other
    Given a stable site with 5 control VMs, 40 entries and 30 targets
    When 20 targets leave, a tenth of a second apart
    Then fewer than 40 full lists of targets have been sent
    And no entry lists them as serving

  Scenario: An entry that closes is announced as a single change
    Given a stable site with 5 control VMs, 40 entries and 30 targets
    When entry "e3" closes and 1 second passes
    Then no entry offers "e3" to callers
    And fewer than 5 full lists of entries have been sent

  Scenario: An entry that missed the closing of another gets the full list
    Given a stable site with 5 control VMs, 40 entries and 30 targets
    When entry "e3" closes, entry "e7" misses the change, and 3 seconds pass
    Then no entry offers "e3" to callers

  Scenario Outline: A change is applied only on top of the one before it
    Given an entry that holds a list of entries with digest 5
    When it receives a change from digest <before> to <after>
    Then its heartbeats have digest <digest> and it lists <names>

    Examples:
      | before | after | digest | names      |
      | 5      | 6     | 6      | e1, e3     |
      | 6      | 7     | 5      | e1, e3, e5 |

  Scenario: Nodes send no heartbeats to control VMs without a disk
    Given a stable site with 5 control VMs of which 2 have no disk, and 20 entries
    When heartbeats are counted for 2 seconds
    Then no entry has sent a heartbeat to a control VM without a disk
    And each entry has sent heartbeats to every control VM with a disk

  Scenario: An announcement to a control VM without a disk reaches all entries
    Given a stable site with 5 control VMs of which 2 have no disk, and 20 entries
    When a target announces its leaving to a control VM without a disk and 1 second passes
    Then the announcement is acknowledged
    And no entry lists the target as serving

  Scenario: An entry that knows only control VMs without a disk finds the others
    Given a stable site with 5 control VMs of which 2 have no disk, and 20 entries
    When an entry starts that knows only the control VMs without a disk
    Then it is ready within 2 seconds

  Scenario Outline: Callers get entries of their own data centre first
    Given <near> entries in the caller's data centre and <far> in others
    When the caller asks for addresses
    Then it gets <named> entries, of which <own> are in its data centre

    Examples:
      | near | far | named | own |
      | 20   | 83  | 20    | 20  |
      | 70   | 33  | 64    | 64  |
      | 4    | 6   | 10    | 4   |
      | 0    | 83  | 64    | 0   |

  Scenario: Open requests of other entries are the sum of their reports
    When 400 random reports of 12 entries are processed
    Then the open requests at each target are the sum of all fresh reports

  Scenario: The cached list of serving targets is never stale
    When 400 random announcements of 20 targets are processed
    Then the cached list always equals a newly computed one

  Scenario: A report of a rank that is not the last causes no scan of all ranks
    Given a group of 64 ranks that copies experts for a new map
    When all ranks but one have reported that they are done
    Then the group has scanned all ranks no more than 130 times
    And it proceeds once the last one reports

  Scenario: A link on an event loop delivers in order and idles without frames
    Given two processes linked on one event loop
    When 500 messages go from one to the other
    Then all arrive in order
    And the idle loop is not woken for half a second

  Scenario: A timer keeps the earliest time and survives an error
    When a timer is set for 0.2 s, then for 0.05 s, and its function fails once
    Then the function has been called again after the error

  Scenario: Entries are notified of slow targets at once and then periodically
    When a target becomes slow at 1.0 s, slower at 1.2 s and recovers at 3.0 s
    Then the entries are notified at 1.0, 1.2, 1.7, 2.2, 2.7 and 3.0 s
