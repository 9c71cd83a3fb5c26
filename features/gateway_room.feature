Feature: Room at servers, and the stop of a gateway

  Scenario: What cannot be in time at a full server is refused at once
    Given a gateway
    And a gateway server with 1 slot that answers slowly, then holds
    When a gateway caller sends 1 request one after the other
    And gateway callers fill the server
    And a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 200, 503
    And the last gateway answer says when to come back
    And the gateway server never had more than its limit

  Scenario: Requests in flight from other gateways count
    Given a gateway
    And a gateway server with 1 slot that answers slowly, then holds
    When a gateway caller sends 1 request one after the other
    And another gateway reports the server as full
    And a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 200, 503
    And the gateway servers got 1 request

  Scenario: The urgent request goes first
    Given a gateway
    And a gateway server with 1 slot that holds
    And gateway routes of priority 0 and 2
    When gateway callers fill the server
    And a gateway caller of priority 2 and then one of priority 0 wait
    And the gateway server goes on
    Then the gateway server got the request of priority 0 before that of priority 2

  Scenario: While it stops, a gateway finishes what it began and closes the rest
    Given a gateway
    And gateway server "a" that answers, then holds
    When the gateway stops with a connection at rest, a request at work and one half sent
    Then the gateway connection at rest is closed
    And the gateway port is closed
    And the others get their whole answers with "Connection: close"

  Scenario: Without a server the request is refused
    Given a gateway
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 503
    And every gateway answer says when to come back

  Scenario: A draining server gets no new request
    Given a gateway
    And gateway server "a" that answers
    And gateway server "b" that answers
    And gateway server "a" drains
    When a gateway caller sends 5 requests one after the other
    Then every gateway answer is the server's, whole
    And gateway server "b" got 5 requests on 1 connection

  Scenario: A full server makes requests wait, and takes them one by one
    Given a gateway
    And a gateway server with 1 slot that holds
    When 8 gateway callers send a request each
    Then the gateway server works on its limit of requests and the others wait
    When the gateway server answers one request
    Then the gateway server works on its limit of requests and the others wait
    When the gateway server goes on
    Then all 8 gateway callers got the server's answer
    And the gateway server never had more than its limit
