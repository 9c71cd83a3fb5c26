Feature: What the leader and peers make of a server's wish
  The order of events, the cause and the evidence stand in gateway_rests.feature.

  Scenario: Keys of a server that rests go to one that does not
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And gateway control server "a" asks the leader for 3 s of rest
    Then gateway control keys of "a" are granted to "b" after their release

  Scenario: Keys of a server that says that it leaves go elsewhere before its entry says so
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    When the gateway control member finds no leader
    And gateway control server "a" says in an answer that it leaves
    Then gateway control keys of "a" are granted to "b" after their release

  Scenario Outline: Keys stay where a move would not help
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    And another gateway of the control group is heard
    When the gateway control member finds no leader
    And <wish>
    Then the gateway control member has moved no key

    Examples:
      | wish                                                               |
      | gateway control server "a" asks the leader for 3 s of rest         |
      | gateway control server "a" asks two gateways for 0.5 s of rest     |
      | gateway control servers "a" and "b" ask two gateways for 3 s of rest |
      | gateway control server "a" asks two gateways for rest while "b" has no room |

  Scenario: A server that asked two gateways for rest loses its keys
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    And another gateway of the control group is heard
    When the gateway control member finds no leader
    And gateway control server "a" asks two gateways for 3 s of rest
    Then gateway control keys of "a" are granted to "b" after their release

  Scenario: Notes of wishes
    Then gateway notes: a report says what a server asked for, and comes back as it was sent
    And gateway notes: the sums of a hub name each gateway that was asked once
    And gateway notes: what one gateway was asked for binds no other
    And gateway notes: of several servers those that asked many are spared, unless all did
    And gateway notes: a server that told one gateway of its leaving gets no new work from any
    And gateway notes: a report without wishes is as long as before
