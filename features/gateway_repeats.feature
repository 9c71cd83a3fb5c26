Feature: What a gateway sends again

  Scenario: An unsafe request whose answer was lost is sent once
    Given a gateway
    And 3 gateway servers that each loses the answer
    And the gateway route is not repeatable
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 502
    And the gateway servers got 1 request

  Scenario: An unsafe request goes again after word that it has not run
    Given a gateway
    And 2 gateway servers, of which the first to be asked says not run
    And the gateway route is not repeatable
    When a gateway caller sends 1 request one after the other
    Then every gateway answer is the server's, whole
    And the gateway servers got 2 requests, each server one

  Scenario: An unsafe request goes again after word that another server was meant
    Given a gateway
    And 2 gateway servers, of which the first to be asked says misdirected
    And the gateway route is not repeatable
    When a gateway caller sends 1 request one after the other
    Then every gateway answer is the server's, whole
    And the gateway servers got 2 requests, each server one

  # A second send has the id of the first, so that only its connection tells their answers apart.
  Scenario Outline: A surplus <surplus> to the first send of an unsafe request is not taken for the answer to the second
    Given a gateway
    And the gateway's service has keys
    And the gateway route is not repeatable
    And gateway server "a" that says misdirected, then sends a late <surplus> first
    And gateway server "a" has all keys from the start
    When a gateway caller asks for key 7
    Then every gateway answer is the server's, whole
    And the gateway servers got 2 requests
    And the gateway used 2 connections to server "a"

    Examples:
      | surplus |
      | 421     |
      | 503     |

  Scenario: A connection that carried a request is used for other requests
    Given a gateway
    And gateway server "a" that answers
    When a gateway caller sends 3 requests one after the other
    Then every gateway answer is the server's, whole
    And the gateway used 1 connections to server "a"

  Scenario: An unsafe request that failed at its server is not sent again
    Given a gateway
    And 2 gateway servers that each answers 500
    And the gateway route is not repeatable
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 500
    And the gateway servers got 1 request

  Scenario: A safe request goes again after its answer was lost
    Given a gateway
    And 2 gateway servers, of which the first to be asked loses the answer
    When a gateway caller sends 1 request one after the other
    Then every gateway answer is the server's, whole
    And the gateway servers got 2 requests, each server one

  Scenario: After a lost answer a refusal is no promise
    Given a gateway
    And 2 gateway servers, of which the first to be asked loses the answer
    And the other gateway server says not run
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 502
    And the gateway servers got 2 requests, each server one

  Scenario Outline: Never more servers than the route allows
    Given a gateway
    And 6 gateway servers that each <behaviour>
    And the gateway route allows <most> servers
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses <status>
    And the gateway servers got <most> requests, each server one at most

    Examples:
      | behaviour        | most | status |
      | loses the answer | 1    | 502    |
      | loses the answer | 3    | 502    |
      | says not run     | 1    | 503    |
      | says not run     | 4    | 503    |

  # The owner of a key may change between two attempts.
  Scenario Outline: At a service with keys no more servers run a request than its route allows: <what>, <most> allowed
    Given a gateway
    And the gateway's service has keys
    And the gateway route allows <most> servers
    And gateway server "a" that <what> as its keys pass to "b"
    And gateway server "b" that answers
    And gateway server "a" has all keys from the start
    When a gateway caller asks for key 7
    Then the gateway answers have the statuses <status>
    And the gateway servers got <requests> requests, each server one at most

    Examples:
      | what             | most | status | requests |
      | loses the answer | 1    | 502    | 1        |
      | loses the answer | 2    | 200    | 2        |
      | says misdirected | 1    | 200    | 2        |
      | ends             | 1    | 200    | 2        |

  Scenario: At a service with keys the owner that lost the answer may be asked again
    Given a gateway
    And the gateway's service has keys
    And the gateway route allows 1 servers
    And gateway server "a" that loses the answer, then answers
    And gateway server "a" has all keys from the start
    When a gateway caller asks for key 7
    Then the gateway answers have the statuses 200
    And the gateway servers got 2 requests

  Scenario: A server to which no connection comes about has not been asked
    Given a gateway
    And a gateway server at whose address nothing listens
    And a gateway server of another zone that answers
    And the gateway route allows 1 servers
    When a gateway caller sends 4 requests one after the other
    Then every gateway answer is the server's, whole
    And the gateway servers got 4 requests

  Scenario: Nothing that can be reached at all
    Given a gateway
    And a gateway server at whose address nothing listens
    And the gateway route is not repeatable
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 503
    And every gateway answer says when to come back

  Scenario: The budget denies what goes beyond it
    Given a gateway that may repeat 0 requests
    And 4 gateway servers that each loses the answer
    When a gateway caller sends 2 requests one after the other
    Then the gateway answers have the statuses 502, 502
    And the gateway servers got 2 requests

  Scenario: The budget is spent to its end and no further
    Given a gateway that may repeat 3 requests
    And 4 gateway servers that each loses the answer
    When a gateway caller sends 5 requests one after the other
    Then the gateway servers got 8 requests

  Scenario: The budget over its window and among gateways
    Then gateway budget: whatever is asked, no window holds more repeats than its share

  Scenario: A request under which servers end is refused after the third, to its caller alone
    Given a gateway
    And 5 gateway servers that each ends
    When a gateway caller at 127.0.0.1 sends the same request 4 times
    Then the gateway answers have the statuses 502, 502, 503, 503
    And the gateway servers got 3 requests, each server one at most
    When a gateway caller at 127.0.0.2 sends the same request 1 times
    Then the gateway answers have the statuses 502, 502, 503, 503, 502
    And the gateway servers got 5 requests, each server one at most

  Scenario: An unsafe request under which servers end is refused as well
    Given a gateway
    And 5 gateway servers that each ends
    And the gateway route is not repeatable
    When a gateway caller at 127.0.0.1 sends the same request 5 times
    Then the gateway answers have the statuses 502, 502, 502, 503, 503
    And the gateway servers got 3 requests, each server one at most

  Scenario: Answers that are lost by servers that live refuse nothing
    Given a gateway
    And 5 gateway servers that each loses the answer
    And the gateway route is not repeatable
    When a gateway caller at 127.0.0.1 sends the same request 5 times
    Then the gateway answers have the statuses 502, 502, 502, 502, 502
