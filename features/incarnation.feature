Feature: A target that restarts under the same id is a new incarnation

  Scenario Outline: Announcements of an earlier, the same or a later start
    Given a target "t1" born at 1000 with sequence 9 that is <known>
    When it is announced as born at <born> with sequence <sequence>, <reported>
    Then the target is born at <now> and <is>

    Examples:
      | known   | born | sequence | reported | now  | is      |
      | ready   | 2000 | 1        | ready    | 2000 | ready   |
      | leaving | 2000 | 1        | ready    | 2000 | ready   |
      | gone    | 2000 | 1        | ready    | 2000 | ready   |
      | ready   | 500  | 99       | leaving  | 1000 | ready   |
      | ready   | 500  | 99       | gone     | 1000 | ready   |
      | leaving | 500  | 99       | ready    | 1000 | leaving |
      | ready   | 1000 | 8        | leaving  | 1000 | leaving |
      | gone    | 1000 | 10       | ready    | 1000 | gone    |
      | gone    | 0    | 10       | ready    | 1000 | gone    |
      | ready   | 0    | 10       | leaving  | 1000 | leaving |

  Scenario: Delayed announcements of an earlier start do not keep a target alive
    Given a target "t1" born at 1000 with sequence 9 that is ready
    When only announcements of an earlier start arrive for 31 seconds
    Then the target is not listed any more

  Scenario Outline: A restart reaches every process from any control VM
    Given a site whose entries know a target "t1" born at 1000
    When it has been deregistered and restarts at 2000, announced to "<name>"
    And a delayed heartbeat of its start at 1000 arrives at "<late>"
    Then every entry lists its start at 2000

    Examples:
      | name | late |
      | c1   | c1   |
      | c2   | c3   |
      | c3   | c1   |

  Scenario: An entry that finds a target replaced retires only the earlier start
    Given a site whose entries know a target "t1" born at 1000
    When it restarts at 2000 and then an entry retires the start at 1000
    Then every entry lists its start at 2000

  Scenario: Delayed deregistration of the earlier start
    Given a site whose entries know a target "t1" born at 1000
    When it restarts at 2000 and is then deregistered as born at 1000
    Then every entry lists its start at 2000

  Scenario: Connections to an earlier start are not reused for a later one
    Then connections to starts at 1000 and 2000 have different pool keys

  Scenario Outline: Heartbeats with invalid fields
    When a heartbeat with <field> set to <value> is read
    Then it is refused

    Examples:
      | field    | value           |
      | state    | "sleeping"      |
      | state    | 7               |
      | state    | null            |
      | service  | ""              |
      | service  | 5               |
      | address  | "nowhere"       |
      | address  | "10.0.0.1"      |
      | address  | "10.0.0.1:0"    |
      | address  | "10.0.0.1:99999"|
      | address  | ["10.0.0.1:80"] |
      | slots    | "six"           |
      | slots    | -1              |
      | sequence | 1e400           |
      | sequence | -3              |

  Scenario Outline: An invalid start time is treated as not stated
    When a heartbeat with born set to <value> is read
    Then it names a target born at 0

    Examples:
      | value                |
      | "2026"               |
      | 1.5                  |
      | true                 |
      | -1                   |
      | 99999999999999999999 |
      | [1]                  |
      | null                 |

  Scenario: Damaged heartbeats and deregistrations
    When 400 damaged heartbeats and deregistrations are read
    Then each is a target, a deregistration or a refusal
    And every target survives encoding and decoding

  Scenario: Damaged reports, counts and placements of engines
    When 400 damaged responses of engines are read
    Then each is parsed or rejected with a ValueError
