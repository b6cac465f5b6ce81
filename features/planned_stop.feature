@real-processes
Feature: A stopping entry takes only requests that can end before it does

  # Guards against answers that the end of a planned stop cuts off.
  Scenario Outline: Requests on kept connections while an entry stops
    Given three VMs with control and entry, and two targets
    And a route whose answers take <work> s, with a time-out of <timeout> s
    When an entry is told to stop and requests follow on kept connections
    Then none of them is cut off, and those that it does not take are rejected at once
    And those sent until <last> s later are answered whole

    Examples:
      | work | timeout | last |
      | 5    | 8       | -1   |
      | 1    | 2       | 2.8  |
      | 3    | 5       | 2.2  |
