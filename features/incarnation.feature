Feature: A target that starts again under its id is another one

  Scenario Outline: What is told of an earlier, the same or a later start
    Given a target "t1" born at 1000 with sequence 9 that is <known>
    When it is told of as born at <born> with sequence <sequence>, <told>
    Then the target is born at <now> and <is>

    Examples:
      | known   | born | sequence | told    | now  | is      |
      | ready   | 2000 | 1        | ready   | 2000 | ready   |
      | leaving | 2000 | 1        | ready   | 2000 | ready   |
      | gone    | 2000 | 1        | ready   | 2000 | ready   |
      | ready   | 500  | 99       | leaving | 1000 | ready   |
      | ready   | 500  | 99       | gone    | 1000 | ready   |
      | leaving | 500  | 99       | ready   | 1000 | leaving |
      | ready   | 1000 | 8        | leaving | 1000 | leaving |
      | gone    | 1000 | 10       | ready   | 1000 | gone    |
      | gone    | 0    | 10       | ready   | 1000 | gone    |
      | ready   | 0    | 10       | leaving | 1000 | leaving |

  Scenario: A late word of an earlier start is no sign of life
    Given a target "t1" born at 1000 with sequence 9 that is ready
    When only words of a start before it come for 31 seconds
    Then it is not named any more

  Scenario Outline: A later start reaches every process, whichever hears first
    Given a site whose entries know a target "t1" born at 1000
    When it has been deregistered and starts again at 2000, heard by "<name>"
    And a heartbeat of its start at 1000 comes late to "<late>"
    Then every entry names its start at 2000

    Examples:
      | name | late |
      | c1   | c1   |
      | c2   | c3   |
      | c3   | c1   |

  Scenario: An entry that finds the earlier start replaced retires that one only
    Given a site whose entries know a target "t1" born at 1000
    When it starts again at 2000 and then an entry retires the start at 1000
    Then every entry names its start at 2000

  Scenario: Late deregistration of the earlier start
    Given a site whose entries know a target "t1" born at 1000
    When it starts again at 2000 and is then deregistered as born at 1000
    Then every entry names its start at 2000

  Scenario: Connections to an earlier start are not used for a later one
    Then pools keep connections to starts at 1000 and 2000 apart

  Scenario Outline: Heartbeats that name no target to use
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

  Scenario Outline: The time of a start that cannot be read is as good as none
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

  Scenario: Drawn heartbeats and deregistrations
    When 400 heartbeats and deregistrations drawn from valid ones are read
    Then each is a target, a deregistration or a refusal
    And what was read fits our own messages

  Scenario: Drawn reports, counts and placements of engines
    When 400 answers of engines drawn from valid ones are read
    Then each is read or refused with a ValueError
