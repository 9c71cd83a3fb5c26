Feature: A server that says it does not hold a key

  Scenario: Its range is left alone for a moment, other ranges and a new token are not
    Given a gateway lookup of owners in which "a" has keys 0 to 99 and keys 200 to 299, and "b" keys 100 to 199
    Then the gateway lookup gives key 7 to "a" as ready
    When the gateway lookup hears that "a" does not hold key 7
    Then the gateway lookup gives key 7 to "a" as pending
    And the gateway lookup gives key 250 to "a" as ready
    And the gateway lookup gives key 150 to "b" as ready
    When the gateway lookup's table gets new tokens
    Then the gateway lookup gives key 7 to "a" as ready

  Scenario: Each time it says so again the moment doubles, up to a bound
    Given a gateway lookup of owners in which "a" has keys 0 to 99 and keys 200 to 299, and "b" keys 100 to 199
    Then the gateway lookup hears of key 7 of "a" as soon as it is ready, and gives pauses of 50, 100, 200, 400, 400 ms
    When the gateway lookup hears nothing of it for 2 s
    Then the gateway lookup hears of key 7 of "a" as soon as it is ready, and gives pauses of 50, 100 ms

  Scenario: Word of several requests at once counts once
    Given a gateway lookup of owners in which "a" has keys 0 to 99 and keys 200 to 299, and "b" keys 100 to 199
    When the gateway lookup hears 6 times that "a" does not hold key 7
    And 50 ms pass for the gateway lookup
    Then the gateway lookup gives key 7 to "a" as ready

  Scenario: Word of a server that the table no longer names counts for nothing
    Given a gateway lookup of owners in which "a" has keys 0 to 99 and keys 200 to 299, and "b" keys 100 to 199
    When the gateway lookup hears that "b" does not hold key 7
    Then the gateway lookup gives key 7 to "a" as ready
