Feature: All entries together keep the retry budget of a service

  Scenario: Entries that restart with their control VMs keep the retry budget
    Given 37 entries that retry whatever they may, with a burst of 202
    When all entries and control VMs restart at once, 2 times within 5 s
    Then no window has more retries than the limit of all entries together
