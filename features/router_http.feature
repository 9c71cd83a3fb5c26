Feature: Callers over HTTP
  A router with its HTTP server on loopback, one controller and back ends under the scenario's
  control.

  Background:
    Given a router with its HTTP server

  Scenario Outline: router http: every method reaches the owner and its answer is passed on
    When a caller sends <method> /v1/shop/item/stock?size=2 with <bytes> bytes
    Then the status is 200 and the outcome header is "completed"
    And the back end got <method> /v1/shop/item/stock?size=2 with <bytes> bytes for the key "item"

    Examples:
      | method  | bytes |
      | GET     | 0     |
      | HEAD    | 0     |
      | POST    | 900   |
      | PUT     | 1000  |
      | PATCH   | 10    |
      | DELETE  | 0     |
      | OPTIONS | 0     |

  Scenario: router http: the key is percent-decoded to bytes and the path stays as it was
    When a caller sends GET /v1/shop/so%2Ffa%FF/x with 0 bytes
    Then the back end got GET /v1/shop/so%2Ffa%FF/x with 0 bytes for the key "so/fa\xff"

  Scenario: router http: headers of one connection are dropped, the others pass
    When a caller sends the headers of one connection and others
    Then the back end got the others only
    And the caller got the back end's other headers, each of its cookies, and its own request id

  Scenario Outline: router http: refusals tell what became of the request
    When a caller sends <method> <path> with <bytes> bytes
    Then the status is <status> and the outcome header is "not-run"
    And the body names "<kind>" and a remedy

    Examples:
      | method | path          | bytes   | status | kind            |
      | GET    | /v1/shoe/item | 0       | 404    | unknown_service |
      | GET    | /v1/shop      | 0       | 400    | missing_key     |
      | GET    | /v1/shop/     | 0       | 400    | missing_key     |
      | POST   | /v1/shop/item | 1001    | 413    | body_too_large  |
      | POST   | /v1/shop/item | 9000000 | 413    | body_too_large  |

  Scenario: router http: a body over the limit without an announced length gets 413
    When a caller sends 5000 bytes in chunks without a length
    Then the status is 413 and the outcome header is "not-run"

  Scenario: router http: a caller that asks before it sends a large body is told at once
    When a caller announces 100000 bytes and waits for leave to send them
    Then it reads 413 without having sent a body

  Scenario Outline: router http: unreadable headers are refused
    When a caller sends the header <name> with the value "<value>"
    Then the status is 400 and the outcome header is "not-run"

    Examples:
      | name                    | value    |
      | Indigoworks-Timeout-Ms  | soon     |
      | Indigoworks-Timeout-Ms  | 0        |
      | Indigoworks-Request-Id  | two ids  |

  Scenario: router http: a lost answer is told apart from a request that did not run
    When the back end's answer to a POST is lost
    Then the status is 504 and the outcome header is "unknown"

  Scenario: router http: a shed request says when to come back
    When nobody owns the key any more and a caller sends a GET
    Then the status is 503 and the outcome header is "not-run"
    And Retry-After is a whole number of seconds, at least what the milliseconds say

  Scenario: router http: a caller that hangs up cancels its request
    When a caller hangs up while the back end works
    Then the back end sees the cancellation

  Scenario: router http: a planned stop answers what is in progress and refuses the rest
    When the HTTP server is stopped while a request is in progress and another comes in
    Then the first was answered whole, and the other got 503, "Connection: close" and Retry-After
    And nothing listens on the port any more

  Scenario: router http: a planned stop waits for a slow reader
    When the HTTP server is stopped while a caller is yet to read an answer of 8000000 bytes
    Then the caller reads the whole answer

  Scenario: router http: metrics and health are served beside the callers
    When a caller sends GET /v1/shop/item with 0 bytes
    Then the metrics count one completed request of the shop and the view's version
    And the health is good
