Feature: The path of a request through a gateway

  Scenario: Method, path, body and the headers that travel reach the server unchanged
    Given a gateway
    And gateway server "a" that answers
    When a gateway caller sends "PUT" "/a/x%2F..?q=1&q=%20" with a body of 300000 bytes
    Then the gateway answer is the server's, whole
    And gateway server "a" got all of the request and no hop header

  Scenario: A body in chunks reaches the server whole
    Given a gateway
    And gateway server "a" that answers
    When a gateway caller sends a body in chunks
    Then the gateway answer is the server's, whole
    And gateway server "a" got the body of the chunks under a length

  Scenario: Headers of one connection stay at it, the others and failures travel back
    Given a gateway
    And gateway server "a" that answers with hop headers, then answers 500
    When a gateway caller sends 2 requests one after the other
    Then the gateway answers have the statuses 200, 500
    And the first gateway answer has both values of the travelling header and no hop header
    And the gateway servers got 2 requests

  Scenario: The deadline that is handed on is what is left
    Given a gateway
    And gateway server "a" that says not run later, then says not run
    And gateway server "b" that says not run later, then says not run
    When a gateway caller that waits 5000 ms sends a request
    Then the gateway servers were handed deadlines, each at least 1000 ms shorter than the last
    And the first gateway deadline is at most 5000 ms

  Scenario: Without a deadline of the caller the route's time-out is handed on
    Given a gateway
    And gateway server "a" that answers
    When a gateway caller sends 1 request one after the other
    Then the first gateway deadline is at most the route's time-out

  Scenario: A surplus answer never reaches a caller, and the answer after it does
    Given a gateway
    And gateway server "a" that sends a surplus answer first
    When a gateway caller sends 3 requests one after the other
    Then every gateway answer is the server's, whole
    And gateway server "a" got 3 requests on 1 connection

  Scenario: A surplus answer alone is no answer
    Given a gateway
    And gateway server "a" that sends a surplus answer only
    And the gateway route is not repeatable
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 502
    And the gateway servers got 1 request

  Scenario: Bytes after a whole answer end the connection and belong to nobody
    Given a gateway
    And gateway server "a" that sends more after its answer
    When a gateway caller sends 3 requests one after the other
    Then every gateway answer is the server's, whole
    And gateway server "a" got 3 requests on 3 connections

  Scenario: A connection that the server ends is not used again
    Given a gateway
    And gateway server "a" that answers and leaves
    When a gateway caller sends 3 requests one after the other
    Then every gateway answer is the server's, whole
    And gateway server "a" got 3 requests on 3 connections

  Scenario: An answer without length is whole when its connection was closed
    Given a gateway
    And gateway server "a" that sends no length and closes
    When a gateway caller sends 1 request one after the other
    Then every gateway answer is the server's, whole

  Scenario Outline: What is not a whole answer never looks like one
    Given a gateway
    And gateway server "a" that <behaviour>
    And the gateway route is not repeatable
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 502
    And no gateway answer carries the server's signature
    And the gateway servers got 1 request

    Examples:
      | behaviour                  |
      | sends no length and resets |
      | cuts the answer short      |
      | loses the answer           |
      | sends no HTTP              |

  Scenario: An answer that comes before a long body was read
    Given a gateway
    And gateway server "a" that answers before it reads the body
    When a gateway caller sends "POST" "/a/x" with a body of 20000000 bytes
    And a gateway caller sends 1 request one after the other
    Then every gateway answer is the server's, whole
    And the first gateway connection carried nothing but that body

  Scenario: A caller that leaves ends the work at the server
    Given a gateway
    And gateway server "a" that holds
    When a gateway caller leaves while gateway server "a" works on its request
    Then gateway server "a" sees its connection end
    And nothing is in progress at the gateway

  Scenario: A server that is silent past the route's time-out
    Given a gateway
    And gateway server "a" that is silent
    And the gateway route's time-out is 0.2 s
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 504
    And gateway server "a" sees its connection end
    And the gateway servers got 1 request
