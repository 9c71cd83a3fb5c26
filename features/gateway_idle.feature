Feature: Connections of callers that rest

  Background:
    Given a gateway whose callers may rest for 0.4 s
    And gateway server "s1" that answers

  Scenario: A request that is there when the time of rest ends is answered
    When a gateway caller asks, and its next request is there when its rest ends in a busy gateway
    Then the resting gateway caller's request is answered

  Scenario: A longer limit holds for connections that rest already
    When a gateway caller asks, and the limit becomes 60 s while it rests
    And the gateway caller rests for 0.6 s in all
    Then the resting gateway caller's next request is answered

  Scenario: A shorter limit leaves a connection the time that it had when it began to rest
    When a gateway caller asks, and the limit becomes 0.01 s while it rests
    And the gateway caller rests for 0.2 s in all
    Then the resting gateway caller's next request is answered

  Scenario: A connection that rests for too long is closed
    When a gateway caller asks once and rests
    Then the gateway closes the resting caller's connection

  Scenario: A caller that never ends its header is cut off
    When a gateway caller asks once and then sends half a header
    Then the gateway closes the resting caller's connection

  Scenario: A larger limit of bodies holds for connections that rest already
    When a gateway caller asks, and bodies may grow from 100 to 1000 bytes while it rests
    Then the resting gateway caller's request with a body of 500 bytes is answered
    And the resting gateway caller's request with a body of 2000 bytes is not taken

  Scenario: A body that the newest configuration allows is not denied by a gateway that is behind its peers
    When a gateway caller asks, bodies may have 100 bytes, and a peer has a newer configuration in force
    Then the resting gateway caller's request with a body of 500 bytes is not denied

  Scenario: A header that the newest configuration allows is not denied by a gateway that is behind its peers
    When a gateway caller asks, and headers may have 400 bytes
    And a peer of the gateway has a newer configuration in force
    Then the resting gateway caller's request with a header of over 2000 bytes is told to come back

  Scenario: A header over the limit in force is denied and no other
    When a gateway caller asks, and headers may have 400 bytes
    Then the resting gateway caller's request with a header of over 2000 bytes is denied
    And the resting gateway caller's next request is answered

  Scenario: A larger limit of headers holds for connections that rest already
    When a gateway caller asks, and headers may grow from 400 to 3000 bytes while it rests
    Then the resting gateway caller's request with a header of over 2000 bytes is answered

  Scenario: A request without a key is not denied by a gateway that is behind its peers
    When a gateway caller asks, and its service gets keys
    And a peer of the gateway has a newer configuration in force
    Then the resting gateway caller's next request is told to come back

  Scenario: A connection that may rest longer by the newest configuration is not closed by a gateway that is behind
    When a gateway caller asks, and the limit becomes 0.4 s while it rests
    And a peer of the gateway has a newer configuration in force
    And the gateway caller rests for 0.8 s in all
    Then the resting gateway caller's next request is answered

  Scenario: A body is not denied for as long as peers tell of the newer configuration
    When a gateway caller asks, bodies may have 100 bytes, and a peer has a newer configuration in force
    And that newer configuration does not come to the gateway for 60 s
    And a peer of the gateway has a newer configuration in force
    Then the resting gateway caller's request with a body of 500 bytes is not denied
