Feature: Real processes whose links are cut

  A relay stands between all processes of the system. Callers, operators and recorders reach the
  processes directly, on both sides of a cut. Histories are checked afterwards.

  Scenario: Cut links one after the other break no promise
    Given a link run in which every key is served
    When in the link run the leader and a router are cut from the other controllers
    And in the link run a router is cut from all controllers
    And in the link run a back end is cut from the controllers
    And in the link run the leader cannot reach a follower that reaches it
    And the link run ends
    Then no checker finds a violation in the link run
    And every cut of the link run held bytes back
    And every completed call of the link run has its own whole answer
    And each checker of the link run finds a record that is altered

  Scenario: The relay holds bytes back while a flow is cut, and hands them on after it
    Given a relay in front of an echo
    When the relay's flow to the echo is cut and "one" is sent
    And the relay's flows are healed
    Then the relay's caller receives "one"

  Scenario: A cut of the answers lets the requests through
    Given a relay in front of an echo
    When the relay's flow from the echo is cut and "two" is sent
    Then the relay's echo has received "two"
    When the relay's flows are healed
    Then the relay's caller receives "two"

  Scenario: A cut flow may refuse new connections
    Given a relay in front of an echo
    When the relay's flow to the echo is cut so that connections are refused
    Then a new connection to the relay ends without an answer

  Scenario: A delayed flow hands bytes on no sooner
    Given a relay in front of an echo
    When the relay's flow to the echo is delayed by 0.2 s
    Then the relay's caller receives what it sends, 0.2 s later or more
