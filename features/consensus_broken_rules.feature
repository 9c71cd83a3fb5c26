Feature: Agreement: the watch over the runs notices broken rules

  Each scenario replaces one rule by a broken copy, in a run that holds with the rule as it is.

  Scenario: A voter that forgets its promise lets two nodes hold the quorum lease
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the link between the agreement leader and one follower is cut for 4 s
    Then this run of the agreement holds for seeds 1 to 4
    And the watch of the agreement notices that "a voter forgets the promise it gave" within seeds 1 to 4

  Scenario: A candidate with a short log undoes commits
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits 5 commands past a follower that is cut off
    And the agreement leader crashes and the network heals
    And the agreement commits "b"
    Then this run of the agreement holds for seeds 1 to 6
    And the watch of the agreement notices that "a voter ignores how far the candidate's log reaches" within seeds 1 to 6

  Scenario: A commit without a majority is undone
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement leader is cut off
    And 4 s pass in the agreement
    And the agreement commits "b"
    And 1 s pass in the agreement
    Then this run of the agreement holds for seeds 1 to 3
    And the watch of the agreement notices that "a leader commits without a majority" within seeds 1 to 3

  Scenario: Voters that the row does not name are overlooked by a recovery
    Given an agreement group of 3 controllers in 3 zones
    When the agreement's platform fails as soon as the group is formed
    And 4 s pass in the agreement
    And the controller in the agreement's row restarts where only it reaches the platform
    And the platform of the agreement is up again
    And 8 s pass in the agreement
    Then this run of the agreement holds for seeds 1 to 3
    And the watch of the agreement notices that "a change of voters is not announced in the row" within seeds 1 to 3

  Scenario: A generation formed too early meets the old leader's lease
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And 2 s pass in the agreement
    And both agreement followers restart while the leader is cut off
    And 8 s pass in the agreement
    Then this run of the agreement holds for seeds 1 to 6
    And the watch of the agreement notices that "a generation is formed without waiting for the leases" within seeds 1 to 6

  Scenario: A follower that trusts the moment of arrival calls an old state current
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits 60 commands
    Then this run of the agreement holds for seeds 1 to 3
    And the watch of the agreement notices that "a follower takes the arrival of a request for its confirmation" within seeds 1 to 3
