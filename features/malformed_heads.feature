Feature: A malformed head of a response is no answer

  # Guards against answers of failing targets that are passed on, or whose body
  # is not the target's.
  Scenario Outline: A head <what> is rejected, whole or byte by byte
    When a server answers an entry's connection with a head <what>
    And a server answers an agent's connection with a head <what>
    Then neither has an answer

    Examples: status lines
      | what                                     |
      | with status 000                          |
      | with status 001                          |
      | with status 099                          |
      | with status 600                          |
      | with status 999                          |
      | with status 20                           |
      | with status 2000                         |
      | with status 2x0                          |
      | without a status                         |
      | with a signed status                     |
      | of version 0.9                           |
      | of version 2.0                           |
      | of version 1.2                           |
      | without a version                        |
      | of another protocol                      |
      | in lower case                            |
      | with two blanks before the status        |
      | with a tab before the status             |
      | with a NUL in the reason                 |
      | with a control byte in the reason        |
      | with a DEL in the reason                 |
      | with a bare CR in the reason             |

    Examples: names
      | what                                     |
      | with a blank in a name                   |
      | with a blank before the colon            |
      | with a tab in a name                     |
      | with a tab before the colon              |
      | with a control byte in a name            |
      | with a NUL in a name                     |
      | with a DEL in a name                     |
      | with a byte above 127 in a name          |
      | with a quote in a name                   |
      | with a slash in a name                   |
      | without a name                           |
      | without a colon                          |
      | with a blank before a name               |
      | with a folded value                      |
      | with a bare CR before a name             |

    Examples: values
      | what                                     |
      | with a NUL in a value                    |
      | with a control byte in a value           |
      | with a DEL in a value                    |
      | with a bare CR in a value                |
      | with two lengths                         |
      | with a signed length                     |
      | with a length of two numbers             |
      | with a hexadecimal length                |
      | with an empty length                     |
      | with a coding other than chunks          |
      | with chunks and another coding           |

  Scenario Outline: A head <what> is read
    When a server answers an entry's connection with a head <what>
    And a server answers an agent's connection with a head <what>
    Then both have the answer

    Examples:
      | what                             |
      | that is ordinary                 |
      | of version 1.0                   |
      | without a reason                 |
      | with a reason in another script  |
      | with blanks around a value       |
      | with a tab in a value            |
      | with a byte above 127 in a value |
      | with all marks of names          |
      | with an empty value              |
      | after an interim head            |

  Scenario: A malformed head after an interim one is rejected
    When a server answers an entry's connection with a head that is malformed after an interim one
    And a server answers an agent's connection with a head that is malformed after an interim one
    Then neither has an answer

  Scenario Outline: A request with <what> is rejected with 400
    When a caller sends a malformed request with <what>
    Then it is answered 400, and nobody has handled it

    Examples:
      | what                           |
      | a blank in a name              |
      | a blank before the colon       |
      | a control byte in a name       |
      | a NUL in a value               |
      | a control byte in a value      |
      | a DEL in a value               |
      | a bare CR in a value           |
      | version 0.9                    |
      | version 2.0                    |
