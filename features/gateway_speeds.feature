Feature: How fast servers are

  Scenario: What peers measured counts where this gateway has not asked yet
    Given a gateway board whose peers measured 0.3 s at "slow" and 0.1 s at "fast"
    Then the gateway board gives every request to "fast" while both have room
    And the gateway board tells the leader 0.3 s of "slow" and 0.1 s of "fast"

  Scenario: A measurement that differs much does not stand for a server's speed
    Given a gateway board without peers
    When the gateway board measures 1.0 s, 0.1 s, 0.1 s, 0.1 s and 0.1 s at "fast"
    Then the gateway board takes a request at "fast" to last 0.25 s to 0.3 s

  Scenario: Own measurements count beside those of the peers
    Given a gateway board whose peers measured 0.3 s at "slow" and 0.1 s at "fast"
    When the gateway board measures 0.2 s, 0.2 s, 0.2 s, 0.2 s and 0.2 s at "fast"
    Then the gateway board takes a request at "fast" to last 0.12 s to 0.15 s
