Feature: After the loss of everything callers are served again soon

  Scenario: A VM that starts a little later than others is found soon after
    Given 6 VMs that are dark for 0.4 s when others look for them
    When they are looked for as by default, and without opening anew
    Then by default they are found in less than 0.6 of the time
