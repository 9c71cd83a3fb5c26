Feature: Agreement: a new generation after the loss of the majority

  Scenario: All controllers restart and go on from the checkpoint
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits "a"
    And 2 s pass in the agreement
    And all agreement controllers crash
    And the crashed agreement controllers start again
    Then the agreement has reached generation 2
    And the agreement group has 3 voters
    And the agreement commits "b"
    And every running controller of the agreement has applied "a,b"
    And this run of the agreement holds for seeds 1 to 3

  Scenario: A survivor keeps what the row does not yet hold
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the platform of the agreement is down
    And the agreement commits "a"
    And both followers of the agreement crash and start again at once
    And 3 s pass in the agreement
    And the platform of the agreement is up again
    Then the agreement has reached generation 2
    And the agreement group has 3 voters
    And every running controller of the agreement has applied "a"
    And this run of the agreement holds for seeds 1 to 3

  Scenario: A crashed majority that may return forms no generation, one that was dropped does
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And 2 s pass in the agreement
    And a follower of the agreement crashes and the machine list drops it
    And the agreement leader crashes
    Then the agreement stays without a leader for 10 s
    When the crashed agreement controllers start again
    Then the agreement has reached generation 2
    And this run of the agreement holds for seeds 1 to 2

  Scenario: The second voter is lost before it has taken the change that makes it one
    Given an agreement group of 3 controllers in 3 zones
    When the controller about to become the second voter of the agreement crashes
    And 1 s pass in the agreement
    Then the agreement stays without a leader for 1 s
    When the crashed agreement controllers start again
    Then the agreement has reached generation 2
    And the agreement group has 3 voters
    And this run of the agreement holds for seeds 1 to 3

  Scenario: The leader is lost between the announcement of a third voter and its entry
    Given an agreement group of 3 controllers in 3 zones
    When the agreement leader crashes once it has announced a third voter
    Then the agreement stays without a leader for 1 s
    When the crashed agreement controllers start again
    Then the agreement has reached generation 2
    And the agreement group has 3 voters
    And the agreement commits "a"
    And every running controller of the agreement has applied "a"
    And this run of the agreement holds for seeds 1 to 6

  Scenario: No voter counts itself out while another announced voter gives no answer
    Given an agreement group of 3 controllers in 3 zones
    When the agreement leader crashes once it has announced a third voter
    And the link between the announced voters of the agreement that are left is cut
    And the crashed agreement controllers start again
    Then the agreement stays without a leader for 12 s
    When the agreement network heals
    Then the agreement has reached generation 2
    And the agreement group has 3 voters
    And this run of the agreement holds for seeds 1 to 4

  Scenario: A voter that counted itself out takes no part while its write is in doubt
    Given an agreement group of 3 controllers in 3 zones
    When the agreement leader crashes once it has announced a third voter
    And the table service loses the answer of the next agreement write
    And the crashed agreement controllers start again
    And an agreement answer was lost
    And 3 s pass in the agreement
    Then an agreement controller has withdrawn, and refuses votes and entries
    When the platform of the agreement is up again
    Then the agreement has reached generation 2
    And the agreement group has 3 voters
    And this run of the agreement holds for seeds 1 to 4

  Scenario: Who forms a generation while the machine list fails is lost with its machine
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And 2 s pass in the agreement
    And all agreement controllers crash
    And the crashed agreement controllers start again
    And 2 s pass in the agreement
    And the machine list of the agreement cannot be read
    Then the agreement stays without a leader for 1 s
    When the agreement leader crashes and the machine list drops it
    And 1 s pass in the agreement
    Then the agreement's row is of generation 2 and its only voter is gone
    When the machine list of the agreement can be read again
    Then the agreement has reached generation 3
    And this run of the agreement holds for seeds 1 to 4

  Scenario: The answer to the write that forms the group is lost
    Given an agreement group of 3 controllers in 3 zones
    When the table service loses the answer of the next agreement write
    And an agreement answer was lost
    And 1 s pass in the agreement
    And the platform of the agreement is up again
    Then the agreement group has 3 voters
    And the agreement has reached generation 1
    And this run of the agreement holds for seeds 1 to 4
