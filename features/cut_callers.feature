Feature: A response that was broken off is not complete to its caller, in any HTTP version

  Scenario Outline: A body that the connection ends is broken off in order
    Given a server of the <path>
    When it breaks responses off that callers of each HTTP version requested
    Then none of them takes the response for complete
    And HTTP/1.0 callers are sent no chunks

    Examples:
      | path            |
      | platform's path |
      | own interface   |

  Scenario Outline: Whole responses are read whole, whatever the HTTP version
    Given a server of the <path>
    When it responds to callers of each HTTP version
    Then each of them reads the whole response
    And HTTP/1.0 callers are sent no chunks

    Examples:
      | path            |
      | platform's path |
      | own interface   |

  Scenario Outline: The process ends in the middle of a body that the connection ends
    When the process of a server of the <path> is killed while it responds
    Then none of them takes the response for complete

    Examples:
      | path            |
      | platform's path |
      | own interface   |

  Scenario: A last chunk follows the response to a HEAD request
    Given a server of the platform's path
    When callers ask for the head of a response of unknown length
    Then no body follows the head
