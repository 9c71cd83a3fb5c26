Feature: Leading a control group when answers of the store are lost

  Scenario: A challenge that was made leads, although its answer was lost
    Given a gateway control group whose store loses the answer of write 1
    When the gateway control member finds no leader
    Then the gateway control member leads

  Scenario: A leader whose first table was written without an answer goes on
    Given a gateway control group whose store loses the answer of write 2
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    Then the gateway control member has granted all keys to their owners

  Scenario: Renewals stop before a row takes keys from their owner
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And gateway control server "a" begins to leave
    Then gateway control keys of "a" are granted to "b" after their release
    And no gateway control grant reached "a" once a row had taken its keys

  Scenario: A write that waits for a grant is not made once another leader is named
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And another gateway control leader is named while a write waits for a grant to "a"
    Then the gateway control member has written nothing more

  Scenario: Grants that wait for another's answer are not sent once another leader is named
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b" in turn
    When the gateway control member finds no leader
    And another gateway control leader is named while server "a" leaves a grant unanswered
    Then the gateway control member has sent server "a" no other grant

  Scenario: A release whose answer was lost is sent again and does not count against the server
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And gateway control server "a" begins to leave and the answer of its release is lost
    Then gateway control keys of "a" are granted to "b" after their release
    And the gateway control member has taken no order to "a" for failed

  Scenario: A server that left a grant unanswered gets short holds while the store is out
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And gateway control server "a" leaves a grant unanswered and the store falls silent
    Then the gateway control member grants "a" for 3 s and "b" for 10 s

  Scenario: Nothing moves for load right after a write whose answer was lost
    Given a gateway control group whose store loses the answer of write 3
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And gateway control keys of "a" turn hot until 3 writes are made, then those of "b"
    Then the gateway control member has moved no key after that write

  Scenario: Placement by load
    Then gateway balancer: a hot range is cut and its part goes to the idlest server
    And gateway balancer: a range too hot for two servers is cut for several in one decision
    And gateway balancer: keys that turned hot a moment ago count by their load of that moment
    And gateway balancer: a single hot key goes to a much faster server and is not cut
    And gateway balancer: keys beside a hot key leave its server
    And gateway balancer: servers with little load are left alone
    And gateway balancer: a clearly slower server gives keys away while others have room
    And gateway balancer: a leaving server is emptied

  Scenario: Placement by speed
    Then gateway balancer: parts of a hot range go to faster servers while these have room

  Scenario: Placement by speed on many busy servers
    Then gateway balancer: of 60 busy servers the slow ones are relieved within four decisions

  Scenario: Placement when traffic begins
    Then gateway balancer: nothing is evened out in the first seconds of traffic

  Scenario: Placement of a hot key that has moved
    Then gateway balancer: a hot key that moved stays unless a server is several times as fast
