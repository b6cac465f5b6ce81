Feature: Bytes without end are bounded, whoever sends them

  # Guards against a faulty server whose bytes fill the memory of its reader.
  Scenario Outline: A server sends <kind> without end
    When a server sends <kind> without end to a <reader>
    Then the connection is closed within 1 s, after less than 512 KiB
    And the reader grows by less than 4 MiB
    And the request fails for a reason that names the bound

    Examples: connections to targets
      | kind                   | reader     |
      | a reason phrase        | connection |
      | one header's name      | connection |
      | one header's value     | connection |
      | header lines           | connection |
      | interim responses      | connection |
      | empty lines            | connection |
      | a chunk's size         | connection |
      | a chunk's extension    | connection |
      | trailer lines          | connection |
      | one trailer            | connection |
      | a discarded body       | connection |

    Examples: probes and orders, which buffer the body
      | kind                   | reader     |
      | header lines           | probe      |
      | interim responses      | probe      |
      | a chunk's extension    | probe      |
      | trailer lines          | probe      |

  Scenario Outline: A body without end is not kept by what buffers it
    When a server sends <kind> without end to a probe
    Then the connection is closed within 1 s, after less than 6144 KiB
    And the reader grows by less than 16 MiB
    And the request fails for a reason that names the bound

    Examples:
      | kind                   |
      | a body to the close    |
      | a body in chunks       |

  Scenario: A head of many short lines is bounded in lines
    When a server sends a head of 300 short lines to a connection
    Then the request fails for a reason that names the bound

  Scenario: An answer of many small chunks is not bounded
    When a server sends 100000 chunks of one byte to a connection
    Then all of them arrive

  Scenario Outline: A <what> within the bounds is read
    When a server sends <what> to a connection
    Then the response is complete

    Examples:
      | what                         |
      | 200 header lines             |
      | a header of 60 KiB           |
      | ten interim responses        |
      | a chunk extension of 8 KiB   |

  # Callers send requests without end; the entry must not keep them.
  Scenario Outline: A caller sends <kind> without end
    When a caller sends <kind> without end to a server
    Then the server closes the connection within 1 s, after less than 1024 KiB
    And the reader grows by less than 4 MiB

    Examples:
      | kind                   |
      | a target               |
      | one header's value     |
      | header lines           |
      | empty lines            |
      | a chunk's size         |
      | a chunk's extension    |
      | trailer lines          |
      | one trailer            |

  # The own interface's operators and callers.
  Scenario Outline: A caller of a threaded server sends <kind> without end
    When a caller sends <kind> without end to a threaded server
    Then the server closes the connection within 1 s, after less than 1024 KiB
    And the reader grows by less than 4 MiB

    Examples:
      | kind                   |
      | a target               |
      | one header's value     |
      | header lines           |
      | a chunk's size         |
      | a chunk's extension    |
      | trailer lines          |
      | one trailer            |
