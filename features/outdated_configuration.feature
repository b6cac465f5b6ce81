Feature: No entry lets requests through by a version that may be outdated

  # Guards against readiness on the word of control VMs that are behind.
  Scenario: A starting entry that hears only outdated control VMs serves nothing
    Given a site with committed version 9
    When version 12 is committed while "c2" and "c3" are down, one after the other
    And only the control VMs that lack version 12 run, and a new entry starts
    And 4 seconds pass at the site
    Then the new entry lets no request through

  # Guards against a version that counts as held though it was never in force.
  Scenario: A version that cannot be applied is not taken for the one in force
    Given a site with committed version 9
    When an entry fails to apply version 12
    Then it still holds version 9 and requests version 12 again

  # Guards against the index of one version under the number of another.
  Scenario Outline: A version of which <part> fails is not taken for the one in force
    Given an entry's process with version 9 in force
    When <part> fails while version 12 is applied
    Then the entry still holds version 9 and decides by it
    When version 12 is applied again
    Then the entry holds version 12 and decides by it

    Examples:
      | part                    |
      | the limit of cold ones  |
      | the bound on passes     |

  # Guards against a version whose content is requested only when a repeat of the
  # request for the one before would be due.
  Scenario: Versions that follow each other closely are in force soon
    Given a site with committed version 9
    When versions 10 to 15 are committed, one every 0.1 seconds
    Then each is in force at every entry 0.1 s after its acknowledgement
