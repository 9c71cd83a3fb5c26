Feature: What a gateway sends over sockets to a server that names a limit
  The order of events, the cause and the evidence stand in gateway_limits.feature.

  Scenario: A server that takes one request a second
    Given a gateway
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And gateway server "a" that names a limit of 1 a second
    When gateway callers ask for 6 targets, one after the other
    Then 2 gateway answers are the server's, and the others refuse for a limit
    And the gateway servers got 2 requests
    And each later of the refused gateway callers is told to come back later

  Scenario: After its pause a server gets requests again
    Given a gateway
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And gateway server "a" that names a limit of 1 a second
    When gateway callers ask for 2 targets, one after the other
    And 1.4 s pass at the gateway
    And gateway callers ask for 1 targets, one after the other
    Then 3 gateway answers are the server's, and the others refuse for a limit

  Scenario: Others serve what a server does not take
    Given a gateway
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And 2 gateway servers, of which the first to be asked names a limit of 0.5 a second
    When a gateway caller sends 10 requests one after the other
    Then every gateway answer is the server's, whole

  Scenario: The owner of a key names a limit
    Given a gateway
    And the gateway is alone in its group
    And the gateway's service has keys
    And the gateway route's time-out is 1 s
    And gateway server "a" that names a limit of 0.5 a second
    And gateway server "b" that answers
    And gateway server "a" owns the lower half of the keys and "b" the upper
    When a gateway caller asks for key 7, key 8, key 9, key 60000 and key 10
    Then the gateway answers have the statuses 200, 200, 503, 200, 503
    When gateway server "b" owns all keys
    And a gateway caller asks for key 9
    Then the last gateway answer is the server's, whole

  Scenario Outline: What counts as a limit, and what does not
    Given a gateway
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And gateway server "a" that <behaviour>, then answers
    When gateway callers ask for 5 targets, one after the other
    Then the gateway servers got <least> to <most> requests

    Examples:
      | behaviour                                       | least | most |
      | names a limit of 1 a second                     | 2     | 2    |
      | names a limit of 0.5 a second                   | 2     | 2    |
      | names a limit of 0 a second                     | 2     | 2    |
      | names a limit of 1e0 a second                   | 2     | 2    |
      | turns away and names a limit of 1 a second      | 2     | 2    |
      | names a limit of 1 a second in a cut answer     | 2     | 2    |
      | names a limit of 1 a second in a surplus answer | 2     | 2    |
      | names a limit of 1000000 a second               | 5     | 5    |
      | names a limit of -1 a second                    | 5     | 5    |
      | names a limit of nan a second                   | 5     | 5    |
      | names a limit of inf a second                   | 5     | 5    |
      | names a limit of some a second                  | 5     | 5    |
      | names a limit of 1, 2 a second                  | 5     | 5    |

  Scenario: A limit that cannot be read is told once, and ends none
    Given a gateway
    And the lines of the gateway are read
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And gateway server "a" that names a limit of 1 a second, then names a limit of some a second
    When gateway callers ask for 2 targets, one after the other
    And 2 s pass at the gateway
    And gateway callers ask for 1 targets, one after the other
    And 2 s pass at the gateway
    And gateway callers ask for 4 targets, one after the other
    Then the gateway servers got 4 to 5 requests
    And 1 of them is "server:notice_refused"
    And 1 of them is "server:names_limit"
    And 0 of them are "server:limit_ended"

  Scenario: Answers that name it no more end a limit
    Given a gateway
    And the lines of the gateway are read
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And gateway server "a" that names a limit of 0.5 a second, then answers
    When gateway callers ask for 2 targets, one after the other
    And 3 s pass at the gateway
    And gateway callers ask for 6 targets, one after the other
    Then 8 gateway answers are the server's, and the others refuse for a limit
    And 1 of them is "server:limit_ended"

  Scenario: A new life of a server has named no limit
    Given a gateway
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And gateway server "a" that names a limit of 0.5 a second, then answers
    When a gateway caller sends 1 request one after the other
    And gateway server "a" starts again under its id
    And gateway callers ask for 5 targets, one after the other
    Then 6 gateway answers are the server's, and the others refuse for a limit

  Scenario: What waits for a server when it names a limit goes at its rate or is refused
    Given a gateway
    And the gateway is alone in its group
    And the gateway route's time-out is 1 s
    And a gateway server with 1 slot that holds and names a limit of 0.5 a second
    When gateway callers fill the server
    And 3 gateway callers more wait
    And the gateway server goes on
    Then the gateway callers are all answered, and at most 2 more reached the server

  Scenario: Without a group's rows nobody lets requests go to a server with a limit
    Given a gateway
    And the gateway route's time-out is 1 s
    And gateway server "a" that names a limit of 1 a second
    When gateway callers ask for 3 targets, one after the other
    Then 1 gateway answers are the server's, and the others refuse for a limit
