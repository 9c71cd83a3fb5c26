Feature: A request under which servers end
  What users saw: seven servers of one service ended one after the other, some seconds apart, each
  while it ran the same request of the same caller, and each took its keys along. The request came
  again about every three and a half seconds, at any gateway, under a new id.

  Order of events: a gateway sends the request to the owner of its key; the server ends; its
  connections are reset and the caller gets 502. The owner's keys are granted to another server. The
  request comes again, at another gateway, which sends it to that server.

  Cause: nothing remembered that a server had ended under a request. Each try was new to the gateway
  that got it, and no gateway told another.

  Evidence: the gateways' lines of one such day, `request:repeat` with `result=lost detail=broken` for
  the same key at three gateways 3.5 s apart, each time at the server that owned it by then, each time
  with `server:out_of_reach` for that server in the same millisecond.

  Scenario: A request for a key that ends each owner of the key comes again and again
    Given 8 crash gateways before 14 servers of each service
    And requests beside them at 30 a second for 36 s
    When a request to catalogue that ends its servers comes 10 times, one each 3.5 s
    Then at most 3 servers ended under the request to catalogue
    And 0.01 of the requests beside them at most were never answered

  Scenario: A request without a key that ends any server of its service comes again and again
    Given 8 crash gateways before 14 servers of each service
    And requests beside them at 30 a second for 36 s
    When a request to scheduler that ends its servers comes 10 times, one each 3.5 s
    Then at most 3 servers ended under the request to scheduler
    And 0.01 of the requests beside them at most were never answered
