Feature: Servers that name the requests a second that they take
  What users saw: two servers, whose keys are their own, had named limits of 1 to 2 requests a second
  in their answers, and got about twice of that from gateways that had passed these answers on.

  Order of events: the servers name their limits. All eight gateways go on sending to both as before,
  three to four requests a second together. No single gateway exceeds the limit, their sum does. 3.4 s
  later the leader gives one of the two more keys, for it looks less busy than others.

  Scenario: Servers of each service name a limit
    Given 8 crash gateways before 14 servers of each service
    And brokers that gateways reach
    And requests beside them at 100 a second for 16 s
    And from 2 s on 3 servers of each service name a limit of 2 a second for 12 s
    When the requests beside them have ended
    Then no server got more than it takes from gateways that it had told
