@real-processes
Feature: A data centre is evacuated by its operator, with real processes

  Scenario: An evacuation is refused, comes late or is lost with all processes
    Given three VMs with control and entry, and a target each in "p" and "q"
    When the operator evacuates "q" at VM 2
    Then no entry sends a request to the target in "q" 0.5 s later
    And the evacuation of a data centre that doesn't exist is answered 404
    When all processes are killed and started
    Then no entry sends a request to the target in "q" 0.5 s later
    And each entry's page shows 1 evacuated data centre
    When the operator evacuates "p" by command
    Then each entry answers 503 with the code "evacuated" and a return time 0.5 s later
    And the command lists "p,q"
    When the operator withdraws the evacuation of "p" by command
    And the operator withdraws the evacuation of "q" at VM 3
    Then each entry sends requests to the target in "q"
