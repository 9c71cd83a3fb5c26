Feature: Rules of leases, ownership and settings on the controller

  Scenario: The leader's count of a lease never ends before the server's
    Then controller: for all delays and drifts in bounds the server's lease ends first

  Scenario: A renewal counts from the reading that it is based on, not from its sending
    Given controller: a lease with a reading of 100.0 s received at 10.0 s
    When controller: the lease is extended
    Then controller: the end sent is 101.5 s on the server's clock
    And controller: the lease has not lapsed at 11.5 s and has lapsed at 11.53 s

  Scenario: A change of ranges based on an older state is void
    Given controller: a state in which server "a" owns the key space
    When controller: two changes are applied that both expect owner "a"
    Then controller: the first change stands and the second is void

  Scenario: Fencing tokens grow over changes and generations
    Given controller: a state in which server "a" owns the key space
    When controller: the key space is granted anew in generations 1, 1 and 2
    Then controller: each token is larger than the one before

  Scenario: Settings versions never go back
    Given controller: a state in which server "a" owns the key space
    When controller: settings versions 1, 3 and 2 are applied
    Then controller: version 3 is in force

  Scenario: A restored snapshot equals its source
    Given controller: a state in which server "a" owns the key space
    When controller: settings versions 1, 3 and 2 are applied
    Then controller: a state restored from its snapshot has the same content

  Scenario: A delta takes a follower from one version to another
    Given controller: a state in which server "a" owns the key space
    When controller: settings versions 1, 3 and 2 are applied
    Then controller: the delta from the first version carries settings version 3 and no more
    And controller: a follower behind the kept history gets no delta

  Scenario: A cut for a hot key keeps owner and token
    Then controller: for all places a cut covers the range, with one part for the place alone

  Scenario: Balancing moves end and never make the heaviest server heavier
    Then controller: for all loads the moves end with a ratio that no single move betters

  Scenario: A move budget is never exceeded
    Then controller: for all intervals at most the budget's moves are taken

  Scenario: The second of two operators is refused with the difference
    Given controller: a leader's settings service
    When controller: change "one" with weight 2 is sent on version 0
    And controller: change "two" with weight 3 is sent on version 0
    Then controller: the answers are accepted at 1, settings_conflict
    And controller: the conflict shows "defaults.weight" from 2.0 to 3.0

  Scenario: A write that took effect while its answer was lost is accepted
    Given controller: a leader's settings service
    When controller: the answer of the next write is lost after it took effect
    And controller: change "one" with weight 2 is sent on version 0
    Then controller: the answers are accepted at 1
    And controller: the table and the log agree on version 1

  Scenario: A write whose loss cannot be resolved is reported as unknown, never as refused
    Given controller: a leader's settings service
    When controller: the answer of the next write is lost after it took effect
    And controller: the table is down after the next write
    And controller: change "one" with weight 2 is sent on version 0
    Then controller: the answers are settings_outcome_unknown

  Scenario: A store outage refuses at once and says when to come back
    Given controller: a leader's settings service
    When controller: the table is down
    And controller: change "one" with weight 2 is sent on version 0
    Then controller: the answers are settings_store_unavailable
    And controller: the answer names when to come back

  Scenario: A repeat of an accepted change is no new change, even after a later one
    Given controller: a leader's settings service
    When controller: change "one" with weight 2 is sent on version 0
    And controller: change "two" with weight 3 is sent on version 1
    And controller: change "one" with weight 2 is sent on version 0
    Then controller: the answers are accepted at 1, accepted at 2, accepted at 1

  Scenario: A version that an earlier leader wrote to the table only is adopted
    Given controller: a leader's settings service
    When controller: an earlier leader wrote change "lost" with weight 5 to the table only
    And controller: the leader looks at the table
    Then controller: version 1 is in force
    And controller: the table and the log agree on version 1
