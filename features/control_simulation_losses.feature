Feature: The real control code survives the loss of its leader, or of all gateways

  Scenario: A leader is killed while servers take its grants late
    When control simulation kills the leader while orders are late
    Then control simulation found nothing in any of the runs

  Scenario: All gateways are killed while servers take grants late
    When control simulation kills all gateways while orders are late
    Then control simulation found nothing in any of the runs

  Scenario Outline: All gateways are killed after an outage under a longest hold of <hold> s
    When control simulation kills all gateways after an outage under a longest hold of <hold> s
    Then control simulation found nothing in any of the runs

    Examples:
      | hold |
      | 4    |
      | 30   |

  Scenario: Keys of a server that is lost with all gateways wait for late grants and no longer
    When control simulation loses a server and all gateways together
    Then control simulation found nothing
    And control simulation served all keys within 24 s of the end of the faults

  # Witnesses know that the server had answered its grants, so that nobody waits for a late one.
  Scenario: Keys of a server that is lost with its leader wait for its last hold and no longer
    When control simulation loses a server and the leader together
    Then control simulation found nothing
    And control simulation served all keys within 5 s of the end of the faults

  # Guards against keys that end with their holds because nobody challenges a leader without a path.
  Scenario Outline: Keys stay held while <case> loses its path to all servers
    When the waits of keys are measured in simulated runs of <case> without a path
    Then no key that a remaining node reaches waited for more than 3 s in any of them

    Examples:
      | case                        |
      | the leader                  |
      | most nodes                  |
      | whoever leads, each second, |

  Scenario: Nodes that lose their path to all servers break no rule of owners
    When control simulation runs 6 seeds with drawn losses of paths to servers
    Then control simulation found nothing in any of the runs

  Scenario: A leader that is cut off lengthens holds of servers that only it reaches
    When control simulation cuts the leader off with servers that only it reaches
    Then control simulation found nothing in any of the runs
