Feature: Changes of the settings tree on the leader

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
    Then controller: settings version 1 is in force
    And controller: the table and the log agree on version 1

  Scenario: A table service that answers nothing in time leaves the outcome open within 5 s
    Given controller: a leader's settings service
    When controller: the table answers each request only after 30 s
    And controller: change "one" with weight 2 is sent on version 0
    Then controller: the answers are settings_outcome_unknown
    And controller: the answer came within 5 s and names when to come back
