Feature: What a gateway sends to a server that asked for rest
  The order of events, the cause and the evidence stand in gateway_rests.feature.

  Scenario: The others serve while one server rests
    Given a gateway
    And 2 gateway servers, of which the first to be asked asks for 3 s of rest
    When a gateway caller sends 6 requests one after the other
    Then every gateway answer is the server's, whole
    And the gateway servers got 7 requests
    And one of them got 1 request alone

  Scenario: Without another server callers are told at once when the rest is over
    Given a gateway
    And gateway server "a" that asks for 3 s of rest
    When a gateway caller sends 4 requests one after the other
    Then the gateway answers have the statuses 503, 503, 503, 503
    And the gateway servers got 1 request
    And every gateway answer says to come back after 2.5 to 3.5 s

  Scenario: After its rest a server gets requests again
    Given a gateway
    And gateway server "a" that asks for 3 s of rest, then answers
    When a gateway caller sends 2 requests one after the other
    And 3.1 s pass at the gateway
    And a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 503, 503, 200
    And the gateway servers got 2 requests

  Scenario: The owner of a key rests
    Given a gateway
    And the gateway's service has keys
    And the gateway route's time-out is 1 s
    And gateway server "a" that asks for 3 s of rest, then answers
    And gateway server "b" that answers
    And gateway server "a" owns the lower half of the keys and "b" the upper
    When a gateway caller asks for key 7, key 7, key 60000 and key 7
    Then the gateway answers have the statuses 503, 503, 200, 503
    And gateway server "a" got 1 requests on 1 connection
    When 3.1 s pass at the gateway
    And a gateway caller asks for key 7
    Then the last gateway answer is the server's, whole

  Scenario: The keys of a server that rests move
    Given a gateway
    And the gateway's service has keys
    And the gateway route's time-out is 1 s
    And gateway server "a" that asks for 3 s of rest
    And gateway server "b" that answers
    And gateway server "a" owns the lower half of the keys and "b" the upper
    When a gateway caller asks for key 7
    And gateway server "b" owns all keys
    And a gateway caller asks for key 7
    Then the gateway answers have the statuses 503, 200

  Scenario Outline: What counts as a wish, and what does not
    Given a gateway
    And gateway server "a" that <behaviour>, then answers
    When a gateway caller sends 3 requests one after the other
    Then the gateway servers got <requests> requests

    Examples:
      | behaviour                                | requests |
      | asks for 1 s of rest                     | 1        |
      | asks for 3 s of rest in a surplus answer | 1        |
      | asks for 0 s of rest                     | 3        |
      | asks for -3 s of rest                    | 3        |
      | asks for nan s of rest                   | 3        |
      | asks for some rest                       | 3        |
      | asks for rest until a date               | 3        |

  Scenario: The head of an answer that is cut short counts
    Given a gateway
    And 2 gateway servers, of which the first to be asked asks for 3 s of rest in a cut answer
    When a gateway caller sends 4 requests one after the other
    Then every gateway answer is the server's, whole
    And one of them got 1 request alone

  Scenario: A year of rest is ten minutes
    Given a gateway
    And gateway server "a" that asks for a year of rest, then answers
    When a gateway caller sends 1 request one after the other
    And 599 s pass at the gateway
    And a gateway caller sends 1 request one after the other
    And 2 s pass at the gateway
    And a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 503, 503, 200

  Scenario: A later wish does not shorten an earlier one
    Given a gateway
    And gateway server "a" that holds and asks for 3 s of rest, then asks for 1 s of rest
    When 2 gateway callers send a request each
    And gateway server "a" works on 1 request
    And gateway server "a" goes on
    And the gateway callers are answered
    And 1.5 s pass at the gateway
    And a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 503
    And the gateway servers got 2 requests

  Scenario: What waits for a server when it asks for rest is refused at once
    Given a gateway
    And a gateway server with 1 slot that holds and asks for 3 s of rest
    When gateway callers fill the server
    And 3 gateway callers more wait
    And the gateway server goes on
    And the gateway callers are answered
    Then the gateway server got as many requests as it has room for

  Scenario: A server asks for rest while a connection to it comes about
    Given a gateway
    And gateway server "a" that answers
    And gateway server "a" asks for 3 s of rest while a connection to it comes about
    When a gateway caller sends 2 requests one after the other
    Then the gateway answers have the statuses 503, 503
    And the gateway servers got 0 requests
    And the gateway believes that it reaches server "a"

  Scenario: A new life of a server has asked for nothing
    Given a gateway
    And gateway server "a" that asks for 3 s of rest, then answers
    When a gateway caller sends 1 request one after the other
    And gateway server "a" starts again under its id
    And a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 503, 200

  Scenario Outline: A server says in an answer that it leaves, and its entry does not
    Given a gateway
    And gateway server "a" that <behaviour>
    When a gateway caller sends 1 request one after the other
    And 3 gateway callers send a request each in turn
    Then the gateway servers got <requests> requests
    And the gateway <believes> that server "a" may get new work

    Examples:
      | behaviour                           | requests | believes      |
      | says that it leaves                 | 1        | does not hold |
      | says that it leaves with 500        | 1        | does not hold |
      | says that it leaves and turns away  | 1        | does not hold |
      | says that it leaves in a cut answer | 1        | does not hold |
      | says that it stays                  | 4        | holds         |

  Scenario: The others serve while one server leaves
    Given a gateway
    And 2 gateway servers, of which the first to be asked says that it leaves
    When a gateway caller sends 6 requests one after the other
    Then every gateway answer is the server's, whole
    And one of them got 1 request alone

  Scenario: An owner that says that it leaves serves its keys for a moment while they move
    Given a gateway
    And the gateway's service has keys
    And the gateway route's time-out is 1 s
    And gateway server "a" that says that it leaves
    And gateway server "b" that answers
    And gateway server "a" owns the lower half of the keys and "b" the upper
    When a gateway caller asks for key 7 and key 7
    And 1.1 s pass at the gateway
    And a gateway caller asks for key 7
    Then the gateway answers have the statuses 200, 200, 503
    When gateway server "b" owns all keys
    And a gateway caller asks for key 7
    Then the last gateway answer is the server's, whole

  Scenario: A new life of a server has not said that it leaves
    Given a gateway
    And gateway server "a" that says that it leaves, then answers
    When a gateway caller sends 1 request one after the other
    And gateway server "a" starts again under its id
    And a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 200, 200
