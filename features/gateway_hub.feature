Feature: Gateways whose reports a hub of their zone sums up

  Scenario: Few gateways report to each other
    Given 16 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    Then no gateway is summed up
    And each gateway of the hub world counts exactly what all others have in flight

  Scenario: With many gateways a zone's hub sums up and each still counts what all others have
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    Then all gateways of the hub world but the hubs and the leader are summed up
    And each gateway of the hub world counts exactly what all others have in flight
    And each gateway of the hub world knows all others to be live

  Scenario: Datagrams grow with the gateways, not with their square
    Then three times as many gateways with hubs send less than four times as many datagrams

  Scenario Outline: A hub is lost, and nobody counts too little of what is in flight
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And the hub of zone 1 is <lost>
    Then for 4.0 s no gateway of the hub world counts less than what all others have in flight
    And each gateway of the hub world counts exactly what all others have in flight

    Examples:
      | lost                        |
      | killed                      |
      | frozen                      |
      | cut from everyone           |
      | cut from its members        |
      | deaf to half of its members |
      | mute to half of its members |

  Scenario: All that can be hubs are lost
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And all of zone 1 that can be hubs are killed
    Then for 4.0 s no gateway of the hub world counts less than what all others have in flight
    And each gateway of the hub world counts exactly what all others have in flight

  Scenario: A frozen hub goes on
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And the hub of zone 1 is frozen
    And the hub world runs for 2.0 s
    And the hub of zone 1 goes on
    Then for 5.0 s no gateway of the hub world counts less than what all others have in flight
    And all gateways of the hub world but the hubs and the leader are summed up
    And each gateway of the hub world counts exactly what all others have in flight

  Scenario: A gateway that was summed up is started anew
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And a member of zone 1 is started anew with other loads
    And the hub world runs for 3.0 s
    Then each gateway of the hub world counts exactly what all others have in flight

  Scenario: What changes at a member is known everywhere soon
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And each gateway of the hub world changes its loads
    And the hub world runs for 0.6 s
    Then each gateway of the hub world counts exactly what all others have in flight

  Scenario: The leader's beat reaches everyone while a hub is frozen
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And the hub of zone 1 is frozen
    Then for 3.0 s everyone has heard the leader within 0.6 s

  Scenario: What members heard of the leader is told with the sums
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And the leader of the hub world reaches one member of zone 2 alone
    And the hub world runs for 3.0 s
    Then everyone but the hub world's leader hears of a beat younger than 1.0 s

  Scenario: A leader that follows another one says so to everyone
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And a member of zone 2 of the hub world leads from now on
    And the hub world runs for 1.0 s
    Then everyone in the hub world has heard that the earlier leader follows the later epoch

  Scenario: Samples of keys of all reach the leader
    Given 30 gateways in 3 hub zones
    When the hub world runs for 3.0 s
    And each gateway of the hub world samples a key of its own
    And the hub world runs for 0.6 s
    Then the leader of the hub world has the samples of all

  Scenario: A member whose report is lost while it changes over is not counted twice for long
    Given 30 gateways in 3 hub zones that lose 1 datagram in 5
    When the hub world runs for 6.0 s
    And the hub world loses no more datagrams
    And the hub world runs for 2.0 s
    Then each gateway of the hub world counts exactly what all others have in flight
