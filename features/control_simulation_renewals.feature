Feature: The rules of ownership hold where grants are renewed at the longest interval

  Scenario: A calm run renews less often and breaks no rule
    When control simulation runs without faults, with the shortest and the longest renewal interval
    Then the run with the longest interval sent at most half as many grants
    And control simulation found nothing in any of the runs

  Scenario: Drawn faults and a store that comes back from a copy
    When control simulation draws faults for seeds 1 to 4 with the longest renewal interval
    Then control simulation found nothing in any of the runs
