Feature: Agreement: elections, quorum lease and replication

  Scenario: Three controllers form a group and agree
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits "a"
    Then every running controller of the agreement has applied "a"
    And this run of the agreement holds for seeds 1 to 4

  Scenario: The leader crashes and committed commands are kept
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits "a"
    And the agreement leader crashes
    And the agreement commits "b"
    And the crashed agreement controllers start again
    Then the agreement group has 3 voters
    And every running controller of the agreement has applied "a,b"
    And this run of the agreement holds for seeds 1 to 4

  Scenario: A cut-off leader loses its lease before another leads, and commits nothing
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits "a"
    And the agreement leader is cut off
    Then another agreement leader is found while the first has lost its lease
    And the agreement commits "b"
    And the command at the cut-off agreement leader has an unknown outcome
    When the agreement network heals
    Then every running controller of the agreement has applied "a,b"
    And this run of the agreement holds for seeds 1 to 4

  Scenario: A follower that cannot reach the leader does not depose it
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the link between the agreement leader and one follower is cut for 4 s
    Then the first agreement leader still leads
    And this run of the agreement holds for seeds 1 to 4

  Scenario: With the platform down a new leader is elected and commits
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the platform of the agreement is down
    And the agreement leader crashes
    And the agreement commits "a"
    Then the row of the agreement is as it was
    And every running controller of the agreement has applied "a"
    And this run of the agreement holds for seeds 1 to 3
