Feature: Groups share the servers of a gateway
  Requests of one priority share slots by the weights of their groups. All times are virtual.

  Scenario: gateway groups: a flood of one group takes no more than its share
    Given a gateway queue before a server of 4 slots and requests of 100 ms
    When gateway group "calm" sends 24 requests a second for 20 s while "flood" sends 240
    Then gateway group "calm" had between 0.9 and 1.1 times the slot seconds of "flood"
    And the gateway queue kept to the limits of its servers and is empty

  Scenario: gateway groups: nobody is refused who stays under its share
    Given a gateway queue before a server of 4 slots and requests of 100 ms
    When gateway group "calm" sends 12 requests a second for 20 s while "flood" sends 240
    Then no request of gateway group "calm" was refused
    And no request of gateway group "calm" waited longer than 0.15 s for its place
    And at least 500 requests of gateway group "flood" were served

  Scenario: gateway groups: shares follow the weights
    Given a gateway queue before a server of 4 slots and requests of 100 ms
    And gateway group "gold" has the weight 3
    When gateway group "gold" sends 200 requests a second for 20 s while "iron" sends 200
    Then gateway group "gold" had between 2.8 and 3.2 times the slot seconds of "iron"

  Scenario: gateway groups: shares are of slot seconds and not of requests
    Given a gateway queue before a server of 4 slots and requests of 100 ms
    And requests of gateway group "slow" take 300 ms
    When gateway group "slow" sends 100 requests a second for 40 s while "fast" sends 100
    Then gateway group "slow" had between 0.85 and 1.15 times the slot seconds of "fast"

  Scenario: gateway groups: an idle share is lent, and back at once
    Given a gateway queue before a server of 4 slots and requests of 100 ms
    When gateway group "busy" sends 240 requests a second for 10 s and "rare" sends one after 5 s
    Then at least 380 requests of gateway group "busy" were served
    And no request of gateway group "rare" was refused
    And no request of gateway group "rare" waited longer than 0.15 s for its place

  Scenario: gateway groups: priority goes before groups
    Given a gateway queue before a server of 1 slot and requests of 100 ms
    When gateway group "flood" fills it, then "calm" sends 3 requests of priority 1 and "flood" 3 of priority 0
    Then the gateway queue last gave places to "flood, flood, flood, calm, calm, calm"

  Scenario: gateway groups: those who wait take turns, each group by arrival
    Given a gateway queue before a server of 1 slot and requests of 100 ms
    When gateway group "flood" fills it, then "flood" sends 3 requests of priority 1 and "calm" 3 of priority 1
    # The first two places of "calm" make up for the two that "flood" holds.
    Then the gateway queue last gave places to "calm, calm, flood, calm, flood, flood"
    And the gateway queue gave places to each group by arrival

  Scenario: gateway groups: requests for a key compete only at its owner
    Given a gateway queue before the owners "a" and "b" of 4 slots and requests of 100 ms
    When gateway group "flood" sends 240 requests a second for 10 s to owner "a", and "calm" 12 to "a" and 30 to "b"
    Then no request of gateway group "calm" was refused
    And no request of gateway group "calm" to owner "b" waited
    And the gateway queue kept to the limits of its servers and is empty

  Scenario Outline: gateway groups: what waits for a key follows it to its new owner
    Given a gateway queue before the owners "a" and "b" of 4 slots and requests of 100 ms
    When 12 requests come to owner "a" and then 8 to "b", of which 6 and 2 wait
    And all keys move to "b", of which the gateway queue is told <when>
    Then the requests that waited got their places at "b" by arrival
    And the gateway queue kept to the limits of its servers and is empty

    Examples:
      | when  |
      | now   |
      | never |

  Scenario: gateway groups: a caller that leaves in the turn in which it gets its place loses none
    Given a gateway queue before a server of 1 slot and requests of 100 ms
    When 4 gateway requests come, and the first that waits leaves as it gets its place
    Then the other 3 gateway requests were served, the last within 0.2 s
    And the gateway queue kept to the limits of its servers and is empty

  Scenario Outline: gateway groups: room that others made is found at the next end of a request, an owner at the next look
    Given a gateway queue before the owners "a" and "b" of 4 slots and requests of 100 ms
    When a gateway request waits for <what>, and that is there unheard before one to "b" ends
    Then the gateway request that waited got its place at "a" after <after> s

    Examples:
      | what                                   | after |
      | room that another gateway takes at "a" | 0.1   |
      | "a", which is out of reach             | 0.05  |

  Scenario Outline: gateway groups: places are exact whatever befalls the requests
    Given a gateway queue before the owners "a" and "b" of 4 slots and requests of 100 ms
    When 600 gateway requests of 4 groups come while callers leave, owners change and fail, with seed <seed>
    Then the gateway queue kept to the limits of its servers and is empty
    And every gateway request of the queue that was not given up has an answer

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: gateway groups: the work for a request does not grow with the queue
    Then a gateway queue of 400 requests takes at most 1.5 times the calls a request of one of 25

  Scenario: gateway groups: the host of a request is its group
    Given a gateway
    And a gateway server with 1 slot that holds
    And gateway routes of the hosts "flood.example" and "calm.example"
    When gateway callers of "flood.example" fill the server
    And 2 gateway callers of "flood.example" and then 1 of "calm.example" wait
    And the gateway server goes on
    Then the gateway server got the request of "calm.example" before the 2 that came earlier

  Scenario: gateway groups: weights are inherited as in the settings tree
    Then gateway weights: for all trees the gateway finds the weight that the settings tree gives
