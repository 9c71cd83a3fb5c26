Feature: A request for a key without an owner waits while it is likely to be answered in time

  Background:
    Given a gateway key whose owner answers within 0.1 s

  Scenario: A planned move is waited for
    When its owner is pending and a gateway request with 0.6 s left comes
    Then that gateway request waits
    When the key is ready again after 0.08 s
    Then that gateway request has a place

  Scenario: What is likely to come too late is refused at once, with the time to come back
    Given its owner was pending 3 times for 2 s each
    When its owner is pending and a gateway request with 0.6 s left comes
    Then that gateway request is refused at once and told to come back after 2 s

  Scenario: The longer an outage has lasted the less of it is left
    Given its owner was pending 3 times for 2 s each
    When its owner is pending and a gateway request with 0.6 s left comes
    And another gateway request with 0.6 s left comes 1.7 s later
    Then that gateway request waits

  Scenario: A request that waited is refused as soon as it is likely to be late
    Given its owner was pending 3 times for 0.2 s each
    When its owner is pending and a gateway request with 0.6 s left comes
    Then that gateway request waits
    When the key is still pending after 0.3 s
    Then that gateway request is refused

  Scenario: An owner that is out of reach, then replaced by one without a grant, is one outage
    Given its owner was out of reach 3 times for 2 s each
    When its owner is out of reach and a gateway request with 0.6 s left comes
    And the key gets another owner that is pending
    And another gateway request with 0.6 s left comes 0.1 s later
    Then that gateway request is refused
