Feature: An acknowledged version outlives the loss of disks while all other VMs lose power

  Scenario Outline: Any disks that may be lost, any moment, all other VMs without power
    Given <controls> control VMs, <diskless> of them without a disk, and a log with <voters> voters
    When <lost> disks are lost and all other VMs lose power after an acknowledgement
    Then the acknowledged version is in force everywhere, whichever disks

    Examples:
      | controls | diskless | voters | lost |
      | 3        | 0        | 3      | 1    |
      | 5        | 2        | 3      | 1    |
      | 6        | 0        | 5      | 2    |
      | 8        | 3        | 5      | 2    |

  Scenario Outline: Fewer disks than voters wanted, all VMs without power, as many disks lost as tolerated
    Given <controls> control VMs, <diskless> of them without a disk, and a log with <voters> voters
    When <lost> disks are lost and all other VMs lose power after an acknowledgement
    Then the acknowledged version is in force everywhere, whichever disks

    Examples:
      | controls | diskless | voters | lost |
      | 2        | 0        | 3      | 1    |
      | 3        | 0        | 5      | 1    |
      | 3        | 0        | 5      | 2    |
      | 4        | 0        | 5      | 2    |
      | 5        | 2        | 5      | 2    |
