Feature: No two servers hold a key on machines whose clocks and processes do not run evenly

  Scenario Outline: No server is granted keys early after the store's clock jumped <direction>
    When control simulation lets the store's clock jump <direction> beside moves, leaving servers and cuts
    Then control simulation found nothing in any of the runs

    Examples:
      | direction |
      | forward   |
      | backward  |

  Scenario: No server is granted keys early by a leader whose clock stood still before it led
    When control simulation stops a machine with its clock that leads later
    Then control simulation found nothing in any of the runs

  Scenario: A leader whose machine was suspended sends no order under a lease that ended meanwhile
    When control simulation suspends the leader's machine beyond its lease
    Then control simulation found nothing in any of the runs

  Scenario: Servers that are paused for shorter than their orders count take back no keys
    When control simulation pauses servers for 1 s to 15 s
    Then control simulation found nothing in any of the runs

  Scenario: Servers that are paused for longer than their orders count take back no keys
    When control simulation pauses servers for 18 s and 25 s
    Then control simulation found nothing in any of the runs
