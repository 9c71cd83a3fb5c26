Feature: A response whose status line HTTP does not allow is no response

  # Guards against a status that does not exist being passed on to a caller as the answer.
  Scenario Outline: A request that is answered with the status line "<line>" counts as lost
    Given a gateway
    And the gateway route is not repeatable
    And a gateway server "e" that answers with the status line "<line>"
    When a gateway caller asks while answers have no end
    Then the gateway's answer is that the request may have run
    And the endless server got 1 request, and its connection was ended
    And the gateway named 1 response beyond the bound "status_line" of that server

    Examples:
      | line                      |
      | HTTP/1.1 000 X            |
      | HTTP/1.1 099 X            |
      | HTTP/1.1 101 Switching    |
      | HTTP/1.1 20 X             |
      | HTTP/1.1 0200 X           |
      | HTTP/1.1 600 X            |
      | HTTP/1.1 799 X            |
      | HTTP/1.1 999 X            |
      | HTTP/1.1 1000 X           |
      | HTTP/1.1 -20 X            |
      | HTTP/1.1 abc X            |
      | HTTP/2.0 200 X            |

  Scenario Outline: A request that may be repeated goes to another server after the status line "<line>"
    Given a gateway
    And a gateway server "e" that answers with the status line "<line>"
    And gateway server "a" that answers
    When gateway callers ask until the endless server got a request
    Then all of these gateway answers are those of server "a"

    Examples:
      | line           |
      | HTTP/1.1 000 X |
      | HTTP/1.1 999 X |

  # A higher minor version is understood as 1.1; its connection is not used again.
  Scenario Outline: A response with the status line "<line>" is passed on
    Given a gateway
    And the gateway route is not repeatable
    And a gateway server "e" that answers with the status line "<line>"
    When a gateway caller asks while answers have no end
    Then the gateway's answer has the status <status> and the body "ok"

    Examples:
      | line              | status |
      | HTTP/1.1 200 OK   | 200    |
      | HTTP/1.1 299 Odd  | 299    |
      | HTTP/1.1 599 X    | 599    |
      | HTTP/1.0 200 OK   | 200    |
      | HTTP/1.9 200 OK   | 200    |

  # Guards against a write that counts as refused by a status that the store never gives.
  Scenario Outline: What others answer with the status line "HTTP/1.1 999 X" is no answer: <sender>
    Given an endless <sender> that answers with the status line "HTTP/1.1 999 X"
    When the endless <sender> is asked
    Then the endless <sender> counts as one that gave no answer
    And the endless server got 1 request, and its connection was ended
    And the gateway named 1 response beyond the bound "status_line" of that server

    Examples:
      | sender             |
      | server of an order |
      | store              |
      | peer               |

  # Guards against a peer of another release that passes such a status on.
  Scenario Outline: A peer's reply with an answer of status <status> is no reply
    Then a forwarded answer of status <status> is <what>

    Examples:
      | status | what    |
      | 0      | refused |
      | 101    | refused |
      | 600    | refused |
      | 200    | taken   |
      | 599    | taken   |
