Feature: The real control code holds the rules of ownership on simulated machines

  Scenario Outline: A seed of the control simulation replays identically
    When control simulation seed <seed> runs twice
    Then control simulation runs were equal and met grants, requests and moves

    Examples:
      | seed |
      | 1    |
      | 3    |

  Scenario: A calm run of the control simulation breaks no rule
    When control simulation runs without faults
    Then control simulation found nothing
    And control simulation moved ranges because of load
    And control simulation had one leader

  Scenario: A calm run finds a planned stop of the leader harmless
    When control simulation runs with a planned stop of the leader
    Then control simulation found nothing

  Scenario: A server is replaced soon although it once left orders unanswered
    When control simulation loses a server some time after orders were left unanswered
    Then control simulation found nothing
    And control simulation served all keys within 6 s of the end of the faults

  Scenario: Every broken rule of the control simulation has a scenario
    Then control simulation scenarios name all broken rules
