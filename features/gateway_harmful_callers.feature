Feature: A request under which servers end comes from another caller each time
  What users saw: servers of one service ended one after the other, some seconds apart, 14 and 18 of
  them on two of three deployments, each while it ran the same target of the same host.

  Order of events: as in gateway_harmful_requests.feature, but each try has another caller's address.

  Cause: what gateways remembered of a request named its caller, so that ends under the tries of
  several callers never added up.

  Evidence: 26 lines `quarantine:crash` in 25 s, all with `crashes: 1`; 19 of them name one target,
  each another caller and gateway, and the others were in hand beside it, once each.

  Scenario Outline: Another caller for each try
    Given 8 crash gateways before 14 servers of each service
    And requests beside them at 30 a second for 36 s
    When a request to <service> that ends its servers comes 10 times, one each 3.5 s, from as many callers
    Then at most 3 servers ended under the request to <service>
    And at most 0 tries of requests that do no harm were refused for it

    Examples:
      | service   |
      | catalogue |
      | scheduler |
