Feature: Agreement: members come, go and are replaced

  Scenario: A restarted voter learns before it votes again
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits "a"
    And an agreement voter that follows crashes and starts again
    Then the restarted controller first learns, and then votes, in the agreement
    And the agreement group has 3 voters
    And every running controller of the agreement has applied "a"
    And this run of the agreement holds for seeds 1 to 4

  Scenario: A new member takes a snapshot
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits 60 commands
    And a controller joins the agreement
    Then the controller that joined the agreement took a snapshot and has applied 60 commands
    And this run of the agreement holds for seeds 1 to 3

  Scenario: A silent voter is replaced by a learner
    Given an agreement group of 4 controllers in 3 zones
    When the agreement group has 3 voters
    And a follower of the agreement crashes and the machine list drops it
    And 7 s pass in the agreement
    Then the agreement group has 3 voters
    And the agreement commits "a"
    And every running controller of the agreement has applied "a"
    And this run of the agreement holds for seeds 1 to 3

  Scenario: Five voters are spread over the zones
    Given an agreement group of 7 controllers in 3 zones
    When the agreement group has 5 voters
    Then every zone of the agreement has at most 2 voters
    And this run of the agreement holds for seeds 1 to 3

  Scenario: A planned stop hands leadership over and leaves the group
    Given an agreement group of 3 controllers in 3 zones
    When the agreement group has 3 voters
    And the agreement commits "a"
    And the agreement leader is stopped as planned
    Then the stopped controller is no member of the agreement and had a successor in 2 s
    And the agreement commits "b"
    And every running controller of the agreement has applied "a,b"
    And this run of the agreement holds for seeds 1 to 4

  Scenario: A single voter that stops hands over to a learner
    Given an agreement group of 2 controllers in 2 zones
    When the agreement group has 1 voters
    And the agreement commits "a"
    And 2 s pass in the agreement
    And the agreement leader is stopped as planned
    Then the stopped controller is no member of the agreement and had a successor in 2 s
    And the agreement commits "b"
    And every running controller of the agreement has applied "a,b"
    And this run of the agreement holds for seeds 1 to 3
