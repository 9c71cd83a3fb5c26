Feature: Tries of a harmful request that are in hand before the first end of a server is known
  What users saw: a request that ends its servers comes many times a second, from another caller each
  time. Before it is refused it ends 4 to 18 of the 20 servers of its service, the more the more
  gateways there are, and the callers of everything else lose these servers.

  Scenario Outline: Many tries a second, <gateways> gateways, <service>, one each <gap_s> s, <lost> lost
    Given <gateways> crash gateways before 20 servers of each service
    And servers of 4 slots, whose keys move after 3.1 s
    And <lost> of the datagrams are lost
    When a request to <service> that ends its servers comes <count> times, one each <gap_s> s, from as many callers
    Then at most two servers ended under it beside those that it reached before word of the first end

    Examples:
      | gateways | service   | lost | count | gap_s |
      | 8        | scheduler | 0.1  | 400   | 0.02  |
      | 20       | scheduler | 0    | 400   | 0.02  |
      | 79       | scheduler | 0    | 400   | 0.02  |
