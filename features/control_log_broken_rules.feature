Feature: Control log: a run fails when one rule is broken

  Each scenario replaces one rule by a broken copy, in a run that holds with the rule as it is.

  Scenario: A challenger that does not wait leads beside the leader
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the leader of the control log is cut off from one follower
    And 4 s pass in the control log
    Then this run of the control log holds for seeds 1 to 3
    And the watch of the control log notices that "a challenger does not wait for the end of the lease" within seeds 1 to 3

  Scenario: A cut-off leader that acts on past its lease leads beside its successor
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the leader of the control log is cut off from the store and from the others
    And 8 s pass in the control log
    Then this run of the control log holds for seeds 1 to 3
    And the watch of the control log notices that "a leader acts on past its lease" within seeds 1 to 3

  Scenario: A paused leader that acts on past its lease is noticed
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the leader of the control log wakes up after a pause of 4 s
    Then the paused leader held no lease when it woke up, and refused a command
    And this run of the control log holds for seeds 1 to 3
    And this run of the control log fails where "a leader acts on past its lease" for one of seeds 1 to 3

  Scenario: A command acknowledged before its row is lost
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the leader of the control log is cut off from the store and from the others
    And 8 s pass in the control log
    And the control log commits "b"
    And every cut of the control log heals
    And 2 s pass in the control log
    Then this run of the control log holds for seeds 1 to 3
    And the watch of the control log notices that "a leader acknowledges what is not written" within seeds 1 to 3

  Scenario: A new leader that does not read the rows lacks what was acknowledged
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And all controllers of the control log crash at once
    And the crashed controllers of the control log start again
    Then all controllers of the control log are in touch with the leader
    And every running controller of the control log has applied "a"
    And this run of the control log holds for seeds 1 to 3
    And the watch of the control log notices that "a new leader does not read the rows" within seeds 1 to 3

  Scenario: Writes that take no account of the version let two lead
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the leader of the control log crashes
    And 6 s pass in the control log
    Then this run of the control log holds for seeds 1 to 6
    And the watch of the control log notices that "a write takes no account of the version" within seeds 1 to 6

  Scenario: A lost answer that is taken for done acknowledges what is lost
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the store holds back what the leader of the control log writes
    And 1 s pass in the control log
    And the leader of the control log crashes
    Then the first leader has acknowledged nothing
    And this run of the control log holds for seeds 1 to 3
    And this run of the control log fails where "a lost answer is not settled" for one of seeds 1 to 3

  Scenario: A follower that trusts the moment of arrival calls an old state current
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And answers to a follower of the control log are held up 20 times over commands
    Then this run of the control log holds for seeds 1 to 3
    And the watch of the control log notices that "a follower takes the arrival of an answer for its confirmation" within seeds 1 to 3
