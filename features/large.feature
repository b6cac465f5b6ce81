Feature: Work and bytes follow what changes, not how many there are

  Scenario: A change goes to each entry once, and the whole list to nobody
    Given a calm site with 5 control VMs, 40 entries and 30 targets
    When one target leaves and 3 seconds pass
    Then no whole list of targets has been sent
    And every entry has left the target out

  Scenario: An entry that missed a change gets the whole list
    Given a calm site with 5 control VMs, 40 entries and 30 targets
    When one target leaves, unheard by entry "e7", and 3 seconds pass
    Then every entry has left the target out
    And only entry "e7" has got a whole list of targets

  Scenario: Many targets replaced one after the other
    Given a calm site with 5 control VMs, 40 entries and 30 targets
    When 20 targets leave, a tenth of a second apart
    Then fewer than 40 whole lists of targets have been sent
    And every entry has left them out

  Scenario: Entries that open and close are told one by one
    Given a calm site with 5 control VMs, 40 entries and 30 targets
    When entry "e3" closes and 1 second passes
    Then no entry names "e3" to callers
    And fewer than 5 whole lists of entries have been sent

  Scenario: An entry that missed that another closed gets the list
    Given a calm site with 5 control VMs, 40 entries and 30 targets
    When entry "e3" closes, unheard by entry "e7", and 3 seconds pass
    Then no entry names "e3" to callers

  Scenario Outline: A change is taken in only after the one before it
    Given an entry that holds a list of entries with digest 5
    When it hears of a change from digest <before> to <after>
    Then its beats state digest <digest> and it names <names>

    Examples:
      | before | after | digest | names      |
      | 5      | 6     | 6      | e1, e3     |
      | 6      | 7     | 5      | e1, e3, e5 |

  Scenario: Nodes do not beat to control VMs without a disk
    Given a calm site with 5 control VMs of which 2 have no disk, and 20 entries
    When 2 seconds of beats are counted
    Then no entry has beaten to a control VM without a disk
    And each entry has beaten to every control VM with one

  Scenario: What a control VM without a disk is told reaches all entries
    Given a calm site with 5 control VMs of which 2 have no disk, and 20 entries
    When a target leaves by a control VM without a disk and 1 second passes
    Then its leaving is acknowledged
    And every entry has left the target out

  Scenario: An entry that knows only control VMs without a disk finds the others
    Given a calm site with 5 control VMs of which 2 have no disk, and 20 entries
    When an entry starts that is told of those without a disk only
    Then it is ready within 2 seconds

  Scenario Outline: Callers are named entries near them
    Given <near> entries near a caller and <far> elsewhere
    When the caller asks for addresses
    Then it is named <named> entries, of which <own> are near

    Examples:
      | near | far | named | own |
      | 20   | 83  | 20    | 20  |
      | 70   | 33  | 64    | 64  |
      | 4    | 6   | 10    | 4   |
      | 0    | 83  | 64    | 0   |

  Scenario: Open requests elsewhere are the sum of what entries told
    When 400 random reports of 12 entries are taken in
    Then the open requests at each target are those that fresh entries told

  Scenario: The list of targets is what a look at all of them shows
    When 400 random announcements of 20 targets are taken in
    Then the list is each time what a look at all of them shows

  Scenario: A rank that is not behind makes nobody look at all ranks
    Given a group of 64 ranks that copies experts for a new map
    When all ranks but one have told that they are done
    Then the group has looked at all ranks no more than 130 times
    And it goes on once the last one tells

  Scenario: A link on an event loop delivers in order and rests without frames
    Given two processes linked on one event loop
    When 500 messages go from one to the other
    Then all come in order
    And with no frames the loop is not woken in half a second

  Scenario: An alarm keeps the earliest time and outlives an error
    When an alarm is set for 0.2 s, then for 0.05 s, and its function fails once
    Then the function has been called again after the error

  Scenario: Entries are told of slow targets at once, and again while any is
    When a target turns slow at 1.0 s, gets slower at 1.2 s and is well at 3.0 s
    Then the entries are told at 1.0, 1.2, 1.7, 2.2, 2.7 and 3.0 s
