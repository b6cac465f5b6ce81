@real-processes
Feature: Targets that ask for something, with real processes

  Scenario: A target of four that asks for rest
    Given three VMs with control and entry, and four targets
    When 12 callers call for 8 s while the first target asks for 3 s of rest
    Then no entry has sent it more than 2 requests within a rest
    And every caller was answered 200

  Scenario: All targets ask for rest
    Given three VMs with control and entry, and four targets
    When 12 callers call for 8 s while all targets ask for 3 s of rest
    Then no entry has sent it more than 2 requests within a rest
    And 5 s after its end every caller is answered 200

  Scenario: A target of four that says it leaves, and beats on as ready
    Given three VMs with control and entry, and four targets
    When 12 callers call for 6 s while the first target says it leaves
    Then no entry has sent it a request later than 1 s after its first word
    And every caller was answered 200

  Scenario: What one entry hears of a target that leaves all entries know
    Given three VMs with control and entry, and four targets
    When callers of the first entry hear that the first target leaves
    Then the other entries send it nothing from 1 s later on

  Scenario: A target of four that names a limit
    Given three VMs with control and entry, and four targets
    When 12 callers call for 10 s while the first target takes 5 a second
    Then from 3 s on it gets no more than 35 requests in any 4 s
    And at least 0.9 of its limit is used
    And every caller was answered 200

  Scenario: The numbers of targets that ask are on the metrics page
    Given three VMs with control and entry, and four targets
    When 12 callers call for 4 s while the first target takes 5 a second
    Then an entry shows 1 limited target, and a log line of its limit
