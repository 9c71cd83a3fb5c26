Feature: Requests under way while the configuration changes
  What users saw: a request was taken 2.6 s after a change was acknowledged, waited 0.65 s at the gateway
  and then ran at a server as the older version says; others were answered 404 for a route that was there.

  Order of events: the change was acknowledged; the gateway, whose feed was late, heard from its peers that
  they had newer configurations; the request came, its route was looked up once, and it waited for room;
  the newer version came into force; the request was sent by the route of its arrival.

  Cause: a request was routed once, at its arrival, and a gateway that knew of newer configurations
  answered for those that it did not have.

  Evidence: the time of arrival, of the send and of the answer of the same request, 24.01, 24.65 and
  24.70 s, with the change acknowledged at 21.39 s; warnings of a feed behind its peers at the gateways
  that answered 404.

  Scenario: A request that waits goes where its route leads when it is sent
    Given a gateway
    And gateway server "a" that answers
    And a gateway server "b" of the service "other" that answers
    When a request waits at the gateway for room
    And the gateway's route leads to "other" now
    And there is room at the gateway again
    Then the waiting gateway request was answered by server "b"
    And server "a" of the gateway has no request in flight

  Scenario: A request that waits while its route is removed gets 404 and runs nowhere
    Given a gateway
    And gateway server "a" that answers
    When a request waits at the gateway for room
    And the gateway's route is removed
    And there is room at the gateway again
    Then the waiting gateway request was answered 404
    And server "a" of the gateway has no request in flight

  Scenario: A request that waits keeps its place where its route still leads there
    Given a gateway
    And gateway server "a" that answers
    When a request waits at the gateway for room
    And the gateway's route is split between "shop" and "other" now
    And there is room at the gateway again
    Then the waiting gateway request was answered by server "a"

  Scenario: A request that is routed again counts once for the budget of repeats
    Given a gateway
    And gateway server "a" that answers
    When a request waits at the gateway for room
    And the gateway's route leads to "shop" now
    And the gateway's route is split between "shop" and "other" now
    And there is room at the gateway again
    Then the waiting gateway request was answered by server "a"
    And the gateway counted 1 request for its retry budget

  Scenario: A request that ran nowhere is repeated where its route leads by then
    Given a gateway
    And gateway server "a" that holds and says not run
    And a gateway server "b" of the service "other" that answers
    When a gateway caller asks, and before the answer the route leads to "other"
    Then the waiting gateway request was answered by server "b"

  Scenario: A gateway that knows of newer configurations says when to come back, not that there is no route
    Given a gateway
    And gateway server "a" that answers
    When a peer of the gateway has a newer configuration in force
    And a gateway caller asks for a route that is not there
    Then the waiting gateway request was answered 503 with a time to come back
    When a gateway caller asks for a route that is there
    Then the waiting gateway request was answered by server "a"
    When that newer configuration is in force at the gateway
    And a gateway caller asks for a route that is not there
    Then the waiting gateway request was answered 404

  Scenario: A newer configuration that does not come is not waited for
    Given a gateway
    And gateway server "a" that answers
    When a peer of the gateway has a newer configuration in force
    And that newer configuration does not come to the gateway for 6 s
    And a gateway caller asks for a route that is not there
    Then the waiting gateway request was answered 404
