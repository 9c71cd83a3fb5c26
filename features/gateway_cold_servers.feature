Feature: Cold servers get no more than they bear

  Scenario Outline: Gateways that are no broker send a cold server nothing of their own accord
    Given <count> gateways in 3 zones and a server that bears 6.7 requests a second while it is cold
    When each gateway has a request for it all the time, for 5 s
    Then no second brought the cold server more than 0 requests

    Examples:
      | count |
      | 11    |
      | 79    |

  Scenario Outline: A broker has most of the rate of a cold server
    Given <count> gateways in 3 zones and a server that bears 6.7 requests a second while it is cold
    And 1 of these gateways act as its broker
    When each gateway has a request for it all the time, for 5 s
    Then these gateways ask 1 to 1 brokers for it
    And no second brought the cold server more than 8 requests
    And the last 3 s brought the cold server 4.5 to 5.6 requests a second

    Examples:
      | count |
      | 11    |
      | 79    |

  Scenario: Two brokers keep to one and a half times the rate of a cold server
    Given 79 gateways in 3 zones and a server that bears 6.7 requests a second while it is cold
    And 2 of these gateways act as its broker
    When each gateway has a request for it all the time, for 5 s
    Then no second brought the cold server more than 17 requests
    And the last 3 s brought the cold server 8.5 to 10.4 requests a second

  Scenario: While half of the gateways know other members they ask two brokers at most
    Given 79 gateways in 3 zones and a server that bears 6.7 requests a second while it is cold
    And half of these gateways do not know of the 40 that came last
    Then these gateways ask 1 to 2 brokers for it

  Scenario: A gateway that has read no members yet asks no broker for a cold server
    Given 79 gateways in 3 zones and a server that bears 6.7 requests a second while it is cold
    And none of these gateways has read the rows of the group
    When each gateway has a request for it all the time, for 5 s
    Then these gateways ask 0 to 0 brokers for it
    And no second brought the cold server more than 0 requests

  Scenario: A server that is warm again gets as much as it has room for
    Given 79 gateways in 3 zones and a server that bears 6.7 requests a second while it is cold
    When that server has become warm
    Then each of these gateways may send to it

  Scenario: Servers count as cold for a while after the evacuation of their zone
    Given a gateway server list
    And servers of its service bear 6.7 requests a second for 3 s while they are cold
    When gateway server entry "a" comes at port 1 with version 5
    And the gateway learns that the zone of its servers is evacuated
    And the gateway learns that the zone of its servers is in use again
    Then gateway server "a" counts as cold
    When 3.1 s of gateway time pass
    Then gateway server "a" does not count as cold

  Scenario: A server counts as cold for as long as its entry says
    Given a gateway server list
    And servers of its service bear 6.7 requests a second for 3 s while they are cold
    When gateway server entry "a" comes at port 1 with version 5, cold for 2 s
    Then gateway server "a" counts as cold
    When 2.1 s of gateway time pass
    Then gateway server "a" does not count as cold

  Scenario: Where the operator names no rate no server counts as cold
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5, cold for 2 s
    Then gateway server "a" does not count as cold

  Scenario: The leader gives the keys of a leaving server to warm ones
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And gateway control server "b" is cold and "c" joins
    And gateway control server "a" begins to leave
    Then gateway control keys of "a" all go to "c"
