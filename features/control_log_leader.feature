Feature: Control log: one leader by a lease in the store

  A watch looks all the time whether two controllers hold the lease, whether two of them applied
  different commands at one index, and whether one calls its state current that lacks a command
  acknowledged before.

  Scenario: Three controllers form a group and agree
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    Then every running controller of the control log has applied "a"
    And this run of the control log holds for seeds 1 to 4

  Scenario: The leader crashes and committed commands are kept
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And the leader of the control log crashes
    And the control log commits "b"
    And the crashed controllers of the control log start again
    Then all controllers of the control log are in touch with the leader
    And every running controller of the control log has applied "a,b"
    And this run of the control log holds for seeds 1 to 4

  Scenario: A cut-off leader loses its lease before another leads, and commits nothing
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And the leader of the control log is cut off from the store and from the others
    Then another leads the control log, and the first has lost its lease before
    And the control log commits "b"
    And the outcome of the command proposed to the first leader is unknown
    When every cut of the control log heals
    Then every running controller of the control log has applied "a,b"
    And this run of the control log holds for seeds 1 to 4

  Scenario: A follower that cannot reach the leader deposes nobody and learns from the store
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the leader of the control log is cut off from one follower
    And 9 s pass in the control log
    And the control log commits "a"
    Then every running controller of the control log has applied "a"
    And the control log has had one leader in one epoch since
    And this run of the control log holds for seeds 1 to 4

  Scenario: Followers in touch with the leader cost the store nothing
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And 1 s pass in the control log
    Then a follower in touch asks the store for nothing in 10 s
    And this run of the control log holds for seeds 1 to 2

  Scenario: A leader that was paused for longer than its lease wakes up as nobody
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the leader of the control log wakes up after a pause of 4 s
    Then the paused leader held no lease when it woke up, and refused a command
    And this run of the control log holds for seeds 1 to 4

  Scenario: While the store is out the leader holds as far as its lease, and nobody takes over
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And the store of the control log is down
    And a command is proposed to the leader of the control log
    Then the leader of the control log goes on for 3.2 s, and after the lease nobody leads
    And the outcome of the command proposed to the first leader is unknown
    When the store of the control log is up again
    And the control log commits "b"
    Then every running controller of the control log has applied "a,b"
    And this run of the control log holds for seeds 1 to 4

  Scenario: A planned stop hands over without waiting for the lease
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And the leader of the control log is stopped as planned
    Then the stopped controller has left the control log, and a successor led it at once
    And the control log commits "b"
    And every running controller of the control log has applied "a,b"
    And this run of the control log holds for seeds 1 to 4
    And this run of the control log fails where "a leader that stops does not give its row up" for one of seeds 1 to 2

  Scenario: A leader that starts again at its address need not wait for its earlier run
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And the leader of the control log crashes and starts again at once
    Then the controller that started again leads the control log without waiting for the lease
    And every running controller of the control log has applied "a"
    And this run of the control log holds for seeds 1 to 4
