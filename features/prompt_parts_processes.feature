@real-processes
Feature: A part of prompts that crashes targets is quarantined

  Scenario: The log names the part that all crashed targets have in common
    Given three VMs with control and entry, and eight targets that crash on a part
    When a stream with that part arrives every 1 s beside harmless ones
    Then the log of the entries names that part for each crashed target

  Scenario: Requests with one part in common don't crash one target after the other
    Given three VMs with control and entry, and eight targets that crash on a part
    When a stream with that part arrives every 0.25 s beside harmless ones
    Then 0.5 s after the third crash at most 3 requests with it reach targets
    And requests with it are rejected as not run, with code 2012
    And 0.95 of the harmless requests are served as before

  Scenario: Safe requests with one part in common don't crash one target after the other
    Given three VMs with control and entry, and eight targets that crash on a part
    When a safe with that part arrives every 0.25 s beside harmless ones
    Then 0.5 s after the third crash at most 3 requests with it reach targets
    And requests with it are rejected as not run, with code 2012
    And 0.95 of the harmless requests are served as before

  Scenario: Bookings with one part in common don't crash one target after the other
    Given three VMs with control and entry, and eight targets that crash on a part
    When a book with that part arrives every 0.25 s beside harmless ones
    Then 0.5 s after the third crash at most 3 requests with it reach targets
    And requests with it are rejected as not run, with code 2012
    And 0.95 of the harmless requests are served as before
