Feature: Parts of prompts that crash targets, whatever else happens

  Scenario Outline: Requests with one part in common are held by every entry
    Then with <entries> entries and <parts> crashing part(s) these are held whatever else happens

    Examples:
      | entries | parts |
      | 3       | 1     |
      | 3       | 2     |
      | 10      | 1     |
      | 10      | 2     |

  Scenario Outline: Requests with one part in common are held at large sites
    Then with <entries> entries 1 crashing part is held when <what>

    Examples:
      | entries | what                |
      | 103     | nothing             |
      | 103     | entries restart     |
      | 103     | control VMs are lost |
      | 300     | entries restart     |

  Scenario: Targets that are killed or lose power blame no part
    Then in 20 schedules of kills and lost racks no part is held and harmless requests are served
