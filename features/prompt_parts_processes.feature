@real-processes
Feature: A part of prompts that crashes targets is quarantined

  Scenario: The log names the part that all crashed targets have in common
    Given three VMs with control and entry, and eight targets that crash on a part
    When a stream with that part arrives every 0.25 s beside harmless ones
    Then the log of the entries names that part for each crashed target
