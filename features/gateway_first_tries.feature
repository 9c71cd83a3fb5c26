Feature: Requests that can still be in time go before those that cannot

  Scenario: The time that a caller still waits tells how long ago it tried first
    Given a gateway that has seen callers of a route that wait 2 s
    Then a caller of that route that still waits 1.2 s tried first 0.8 s ago
    And a caller of that route that waits 2 s tries for the first time
    And a caller of that route that does not say how long it waits tries for the first time

  Scenario: A route whose callers wait less than they did is known anew after a while
    Given a gateway that has seen callers of a route that wait 2 s
    When all callers of that route wait 1 s for 23 s
    Then a caller of that route that waits 1 s tries for the first time

  Scenario: A request that can only be late waits behind those that can be in time
    Given a gateway with an aim of 400 ms
    And gateway server "a" of 1 slot that answers when it is told to
    When gateway callers that wait 2000 ms keep that server busy
    And one that still waits 1000 ms and then one that waits 2000 ms ask
    Then the caller that waits 2000 ms was served first
