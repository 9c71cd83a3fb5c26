Feature: Servers that name a limit before 195 gateways
  The order of events, the cause and the evidence stand in gateway_limits.feature. Each gateway sends
  such a server a request in half a minute and more: only who counts all of them keeps to the sum.

  Scenario Outline: Sums over 195 gateways, <per_s> a second, <count> of <servers> servers: <what>
    Given 195 crash gateways before <servers> servers of each service
    And brokers that gateways reach
    And <lost> of the datagrams are lost
    And requests beside them at <load> a second for <for_s> s
    And from 1 s on <count> servers of each service name a limit of <per_s> a second for <limit_s> s
    And <what>
    When the requests beside them have ended
    Then no server got more than it takes from gateways that it had told

    Examples:
      | servers | count | per_s | load | lost | for_s | limit_s | what                                         |
      | 14      | 3     | 2     | 100  | 0    | 8     | 7       | after 4 s all gateways but one start again   |
      | 6       | 6     | 0.5   | 60   | 0    | 14    | 13      | after 4 s one gateway is cut from the others |
      | 8       | 3     | 3     | 80   | 0.03 | 8     | 7       | after 4 s the store is down                  |
