Feature: HTTP adapters of the back end
  What the adapters tell decides whether a request may be sent again.

  Scenario: A whole answer of the stand-in
    Given a stand-in back end over HTTP that owns the key space
    When a POST is sent to it
    Then the answer is whole and names request, key and server
    And the server has run it once

  Scenario: Hop-by-hop headers and forged grants do not pass
    Given a scripted server that answers "whole"
    When a request with hop-by-hop and forged headers is sent to it
    Then the server received the end-to-end headers and the grant only
    And the answer has the end-to-end headers only

  Scenario: A wrong token is not run
    Given a stand-in back end over HTTP that owns the key space
    When a POST under another token is sent to it
    Then the answer is wrong owner
    And the server has run it 0 times

  Scenario Outline: A missing answer is lost, though the request ran
    Given a stand-in back end over HTTP that owns the key space
    And it has the fault "<fault>"
    When a POST is sent to it
    Then the outcome is "backend_answer_lost"
    And the server has run it once

    Examples:
      | fault               |
      | cut_answers_ratio   |
      | lose_answers_ratio  |

  Scenario Outline: An answer that is not provably whole and ours is lost
    Given a scripted server that answers "<behaviour>"
    When a POST is sent to it
    Then the outcome is "backend_answer_lost"
    And the server received 1 request

    Examples:
      | behaviour              |
      | another request's id   |
      | no request id          |
      | a body without length  |
      | two unequal lengths    |
      | half the headers       |
      | not HTTP               |
      | nothing in time        |

  Scenario: A kept connection that dies after the request does not send it twice
    Given a scripted server that answers "whole" and then "nothing, and closes"
    When two POSTs are sent to it one after the other
    Then the outcome is "backend_answer_lost"
    And the server received 2 requests on 1 connection

  Scenario: A connection that the server closed while idle is not used
    Given a scripted server that answers "whole, and closes" and then "whole"
    When two POSTs are sent to it one after the other
    Then the outcome is completed
    And the server received 2 requests on 2 connections

  Scenario: Connections are kept
    Given a scripted server that answers "whole"
    When two POSTs are sent to it one after the other
    Then the outcome is completed
    And the server received 2 requests on 1 connection

  Scenario: A refused connection is unreachable
    Given an address where nothing listens
    When a POST is sent to it
    Then the outcome is "backend_unreachable"

  Scenario: A request that waited for a connection until its deadline was not sent
    Given a scripted server that answers "nothing in time"
    When two POSTs are sent to it at once over 1 connection
    Then the first outcome is "backend_answer_lost" and the second "backend_unreachable"
    And the server received 1 request

  Scenario: A passed deadline sends nothing
    Given a scripted server that answers "whole"
    When a POST with no time left is sent to it
    Then the outcome is "backend_unreachable"
    And the server received 0 requests

  Scenario: Cancelling closes the connection, and what waits there is not run
    Given a stand-in back end over HTTP that owns the key space
    And all its slots are busy
    When a POST is sent to it and cancelled
    Then the server records it as cancelled

  Scenario: A server over its limit of connections sheds
    Given a stand-in back end over HTTP that owns the key space
    And all its connections are taken
    When a POST is sent to it
    Then the answer is shed, with when to come back

  Scenario: Status and renewal keep 64-bit ends, and a refusal tells why
    Given a stand-in back end over HTTP that owns the key space
    When its controller asks for the release of a range with 64-bit ends
    Then the status reports that range as released
    When its controller renews with an older version
    Then the outcome is "backend_refused"

  Scenario: A status that cannot be read is lost
    Given a scripted server that answers "whole"
    When its status is read
    Then the outcome is "backend_answer_lost"
