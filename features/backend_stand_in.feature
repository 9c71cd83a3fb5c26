Feature: Lease, fenced grants and slots of a back end
  The stand-in back end keeps the rules that the controller relies on.

  Background:
    Given a back end with 1 slot that owns the key space under token 5 for 1.5 s

  Scenario: A delayed renewal does not lengthen the lease
    Given the back end's clock is read
    When 1 s passes at the back end
    And a renewal made from that reading arrives
    And 0.6 s passes at the back end
    Then the back end refuses a request under token 5 as wrong owner

  Scenario: A renewal made from a new reading lengthens the lease
    When 1 s passes at the back end
    And the back end's clock is read
    And a renewal made from that reading arrives
    And 0.6 s passes at the back end
    Then the back end runs a request under token 5

  Scenario: A late renewal does not shorten the lease
    When a renewal of an earlier end arrives
    And 1 s passes at the back end
    Then the back end runs a request under token 5

  Scenario Outline: Renewals that are refused change nothing
    When a renewal <which> arrives
    Then the back end refuses that renewal
    And the back end runs a request under token 5

    Examples:
      | which                                     |
      | for another incarnation without ranges    |
      | of an older version without ranges        |
      | of an older generation without ranges     |

  Scenario: A newer version whose ranges never arrived does not lengthen the lease
    When a renewal of a newer version with unchanged ranges arrives
    Then the back end refuses that renewal
    When 1.6 s passes at the back end
    Then the back end refuses a request under token 5 as wrong owner

  Scenario: A request under another token is not run
    Then the back end refuses a request under token 4 as wrong owner
    And the back end refuses a request under token 6 as wrong owner
    And the back end has run 0 requests

  Scenario: A range is reported as released only once nothing runs on it
    Given a request is running at the back end
    When the back end is asked to release its range
    Then no range is reported as released
    And the back end refuses a request under token 5 as wrong owner
    When the running request ends
    Then the running request was run
    And the range is reported as released

  Scenario: A server with a fault for the checkers reports a range as released too early
    Given a request is running at the back end
    And the back end has the fault "releases_while_running"
    When the back end is asked to release its range
    Then the range is reported as released

  Scenario: A queued request is refused when the range goes meanwhile
    Given a request is running at the back end
    And a second request waits for a slot
    When the back end is asked to release its range
    And the running request ends
    Then the second request was refused as wrong owner

  Scenario: A request whose deadline passes in the queue is not run
    Given a request is running at the back end
    And a second request waits for a slot with 0.001 s left
    When the running request ends
    Then the second request was shed
    And the back end has run 1 request

  Scenario: A request that sleeps past the lease changes nothing
    Given a request is running at the back end
    When the back end freezes for 3 s
    Then the running request was refused as wrong owner
    And the back end has run 0 requests

  Scenario: A server with a fault for the checkers runs what slept past the lease
    Given a request is running at the back end
    And the back end has the fault "forgets_lease_check"
    When the back end freezes for 3 s
    Then the running request was run

  Scenario: Cancelling stops a request that waits and none that runs
    Given a request is running at the back end
    And a second request waits for a slot
    When both requests are cancelled
    And the running request ends
    Then the back end has run 1 request
    And the history has 1 cancelled request

  Scenario: A full queue sheds
    Given a request is running at the back end
    And the queue of the back end is full
    Then the back end sheds a request

  Scenario: A slot handed to a cancelled request is passed on
    Given one slot that is taken, and two that wait for it
    When the slot is given back and its next holder is cancelled in the same step
    Then the last in the queue holds the slot

  Scenario: A cold server takes longer
    Then the first service time is 4 times the one of a warm server
