@real-processes
Feature: A request under which targets end is kept from the others

  Targets of one service ended one after the other, some four seconds apart,
  and the whole group of ranks stood still each time. The logs named nothing
  that the ends had in common, since each try of a request has an id of its
  own. With the content of what ran at each target they do: of 16 ends under
  8 tries each line "target checked" with "sign":"ended" bears one and the
  same content, and two targets ended in each try, since an entry sends it
  once more by itself and nobody remembers it beyond one try.

  Scenario: The log names what ran on each target that ended
    Given three VMs with control and entry, and six targets that end under "x"
    When a safe request that ends targets comes 2 times, in turn
    Then the log of the entries names one content for each target that ended

  Scenario: A stream that ends its targets is kept from the others
    Given three VMs with control and entry, and six targets that end under "x"
    When a stream request that ends targets comes 8 times, in turn
    Then it has ended no more than 3 targets
    And other requests are answered whole through every entry

  Scenario: A safe request that ends its targets is kept from the others
    Given three VMs with control and entry, and six targets that end under "x"
    When a safe request that ends targets comes 8 times, in turn
    Then it has ended no more than 3 targets
    And other requests are answered whole through every entry

  Scenario: A booking that ends its targets is kept from the others
    Given three VMs with control and entry, and six targets that end under "x"
    When a book request that ends targets comes 8 times, in turn
    Then it has ended no more than 3 targets
    And other requests are answered whole through every entry

  Scenario: A new start of an entry keeps it from targets until it is lifted
    Given three VMs with control and entry, and six targets that end under "x"
    When a stream request that ends targets comes 2 times, in turn
    And the third entry is killed and starts again
    Then a stream request that ends targets is refused there
    And the command line lists it at each entry
    When an operator lifts it by the command line at the first entry
    Then a stream request that ends targets ends more targets at the third

  Scenario: A stream that ends its targets midway is kept from the others
    Given three VMs with control and entry, and six targets that end under "x"
    And they end after some events
    When a stream request that ends targets comes 6 times, in turn
    Then it has ended no more than 3 targets
    And other requests are answered whole through every entry

  Scenario: A request of the own interface that ends engines is kept from them
    Given a running deployment whose engines end under "x ends" and come back
    When a request that ends engines comes 6 times, at entries in turn
    Then it has ended no more than 3 engines
    And the last try was told that it has not run, and another is answered

  Scenario: Requests of the own interface with one message in common don't crash one engine after the other
    Given a running deployment whose engines end under "x ends" and come back
    When requests with a message that ends engines and others of their own come 8 times, at entries in turn
    Then it has ended no more than 3 engines
    And the last try was told by code 2012 that it has not run, and others with the same first message are answered

  Scenario: A well request whose targets lose power together is served again
    Given three VMs with control and entry, and six targets that end under "nothing"
    When six streams of one content run and all targets are killed at once
    Then that content is answered whole at every entry within 2 s of their return
