Feature: A part of a gateway that fails is started again, and seen

  # A gateway whose part has ended serves on by what the part knew last.
  Scenario: The list of servers is followed again after a fault in whoever is told of a change
    Given process supervision: a gateway's followers, of which the servers' fails 2 times
    When process supervision: 5 s pass
    And process supervision: a server of the list leaves
    Then process supervision: the server that leaves gets no requests
    And process supervision: the log names the part "servers" 2 times, with growing delays

  Scenario: A part that keeps failing makes the process not ready until it has run for a while
    Given process supervision: a part that raises a fault 5 times and then runs
    When process supervision: 1 s passes
    Then process supervision: the failing parts are "part"
    When process supervision: 20 s pass
    Then process supervision: no part is failing, and the part runs

  Scenario: One fault does not make the process not ready
    Given process supervision: a part that raises a fault 1 times and then runs
    When process supervision: 1 s passes
    Then process supervision: no part is failing, and the part runs

  Scenario: A part that is cancelled is not started again
    Given process supervision: a part that raises a fault 1 times and then runs
    When process supervision: 1 s passes
    And process supervision: all parts are cancelled, and 20 s pass
    Then process supervision: the part was started 2 times

  Scenario: A gateway with a failing part answers the readiness probe with 503
    Given process supervision: a ready gateway's status
    Then process supervision: its readiness probe is answered with 200
    When process supervision: one of its parts keeps failing
    Then process supervision: its readiness probe is answered with 503

  Scenario: A range is renewed again after a fault in its keeper
    Given a gateway owner world in which "a" has all keys
    When process supervision: the next renewal of the gateway owner world raises a fault
    And 6 s of gateway owner time pass
    Then gateway owner "a" holds all keys
