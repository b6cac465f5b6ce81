Feature: Every fault at every message of every protocol

  Scenario Outline: Fault matrix
    Then every cell of "<protocol>" holds as recorded

    Examples:
      | protocol   |
      | quorum     |
      | claim      |
      | experts    |
      | member     |
      | configctl  |
      | directory  |
      | mapswitch  |
      | quarantine |

  Scenario: No message is without a row
    Then every registered message belongs to a protocol of the matrix or is named as proved elsewhere
