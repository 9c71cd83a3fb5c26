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

  Scenario: A server that is paused while the leader is lost takes back no keys
    When control simulation pauses a server for 25 s and kills the leader meanwhile
    Then control simulation found nothing in any of the runs

  Scenario: Servers that forget the tokens of releases take back no keys by late orders
    When control simulation lets servers forget the tokens of releases while orders are late
    Then control simulation found nothing in any of the runs

  Scenario: Servers that forget the tokens of releases take back no keys by late orders of leaders whose terms end
    When control simulation ends the terms of leaders one after the other while orders are late
    Then control simulation found nothing in any of the runs

  Scenario Outline: A leader that stands still between its check and an order's bytes sends nothing of before: <how>
    When control simulation lets the leader stand still before orders' bytes because it is <how>
    Then control simulation found nothing in any of the runs

    Examples:
      | how    |
      | frozen |
      | late   |

  Scenario: Leaders that are lost one after the other hand on what each has granted
    When control simulation loses leaders in a chain after trouble of the store with a dark server
    Then control simulation found nothing in any of the runs

  Scenario: A server that answers 421 and names no other keeps its keys until its holds have ended
    When control simulation lets servers answer 421 to orders and name no other server
    Then control simulation found nothing in any of the runs
