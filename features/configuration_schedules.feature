Feature: In drawn schedules no entry that reaches a majority acts on an older version

  Control VMs run and are silent, leaders leave on purpose or fall silent in the
  moment of an acknowledgement, voters are replaced, links are cut and slow,
  entries are suspended and started, operators race with versions and contents.
  An entry that has reached a majority of the voters for 3 s acts on no version
  that is older than what was acknowledged 2 s before; no entry goes back; in the
  end all have the newest version, with one content.

  Scenario Outline: Schedules from seed <first> on
    When <count> schedules are drawn from seed <first> on
    Then no schedule has broken the rule

    Examples:
      | first | count |
      | 1     | 150   |
      | 5001  | 150   |
