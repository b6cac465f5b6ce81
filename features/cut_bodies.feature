Feature: A body or a log that was cut off is not read as a whole value

  Scenario Outline: A cut body of an engine is read as its <what>
    When the body of an engine's <what> is cut off at every byte
    Then no part of it is read

    Examples:
      | what      |
      | state     |
      | counts    |
      | placement |

  Scenario: A cut configuration is acknowledged
    When a configuration is cut off at every byte
    Then no part of it is read

  Scenario: A cut operation is executed
    When an operation is cut off at every byte
    Then no part of it is read

  Scenario Outline: A request body that is cut off reaches the handler
    Given a server of the <path>
    When request bodies are cut off in every framing
    Then no request reaches its handler

    Examples:
      | path            |
      | platform's path |
      | own interface   |

  Scenario: The report fails on a log that is cut off inside a character
    When a log is reported that is cut off inside a character
    Then the report counts the complete lines
