@real-processes
Feature: Clients that don't behave end no process

  # A VM of 120 MB of memory and 500 descriptors, on which an entry may grow by
  # a third of the memory.
  Scenario Outline: An entry survives <crowd>
    Given a site whose VMs have 120 MB and 500 descriptors
    When a crowd sends "<crowd>" to an entry
    Then the entry's process runs and has grown by at most 40 MB
    And it has at most 500 open descriptors
    And an ordinary request to that entry is answered

    Examples:
      | crowd                              |
      | heads of legal size without an end |
      | heads over the limit               |
      | one field without an end           |
      | trailers without an end            |
      | empty lines before a request       |
      | chunk extensions without an end    |
      | bodies in chunks of 2 bytes        |
      | bodies in chunks of 16 bytes       |
      | bodies that are not ended          |
      | bodies one byte short              |
      | whole bodies at once               |
      | complete heads of tiny fields      |
      | connections without a request      |

  Scenario Outline: A control VM survives <crowd>
    Given a site whose VMs have 120 MB and 500 descriptors
    When a crowd sends "<crowd>" to a control VM's calls
    Then the control VM's process runs and has grown by at most 40 MB
    And it has at most 500 open descriptors
    And the configuration can be read at that control VM

    Examples:
      | crowd                              |
      | heads of legal size without an end |
      | heads over the limit               |
      | trailers without an end            |
      | bodies in chunks of 2 bytes        |
      | bodies that are not ended          |
      | whole bodies at once               |
      | connections without a request      |

  # Both are listed in KNOWN-RED.txt.
  Scenario: Parts of one message without an end reach an entry's internal port
    Given a site whose VMs have 120 MB and 500 descriptors
    When a crowd sends "parts of one message without an end" to an entry's port for other processes
    Then the entry's process runs and has grown by at most 40 MB
    And an ordinary request to that entry is answered

  Scenario: Connections without a handshake reach an entry's internal port
    Given a site whose VMs have 120 MB and 500 descriptors
    When a crowd sends "connections without a handshake" to an entry's port for other processes
    Then it has at most 500 open descriptors
    And an ordinary request to that entry is answered
