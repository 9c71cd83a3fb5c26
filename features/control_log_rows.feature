Feature: Control log: every entry is a row before it counts

  Scenario: Everything is killed at once, and what was acknowledged is there
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And the control log commits "b"
    And all controllers of the control log crash at once
    And the crashed controllers of the control log start again
    Then all controllers of the control log are in touch with the leader
    And every running controller of the control log has applied "a,b"
    And the control log commits "c"
    And every running controller of the control log has applied "a,b,c"
    And this run of the control log holds for seeds 1 to 4

  Scenario: Checkpoints keep the number of rows bounded, and nothing is lost with old entries
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits 60 commands
    And all controllers of the control log crash at once
    And the crashed controllers of the control log start again
    Then all controllers of the control log are in touch with the leader
    And every running controller of the control log has applied 60 commands
    And the control log takes at most 18 rows
    And this run of the control log holds for seeds 1 to 3

  Scenario: A new controller takes the whole state
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits 60 commands
    And a controller joins the control log
    Then all controllers of the control log are in touch with the leader
    And every running controller of the control log has applied 60 commands
    And this run of the control log holds for seeds 1 to 3

  Scenario: Lost answers to writes are settled, and no command is committed twice
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the store loses the next 8 answers to writes of the control log
    And the control log commits "a"
    And the control log commits "b"
    Then every running controller of the control log has applied "a,b"
    And this run of the control log holds for seeds 1 to 4

  Scenario: A write that arrives late, after the same write was repeated, changes nothing
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the store holds back what the leader of the control log writes
    And the store takes writes of the control log again
    Then the command proposed to the first leader was committed
    And the writes held back arrive and are refused
    And the control log commits "b"
    And every running controller of the control log has applied "late,b"
    And this run of the control log holds for seeds 1 to 4

  Scenario: A write of a former leader that arrives late is refused
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the store holds back what the leader of the control log writes
    Then another leads the control log, and the first has lost its lease before
    And the control log commits "b"
    And the outcome of the command proposed to the first leader is unknown
    And the writes held back arrive and are refused
    And every running controller of the control log has applied "b"
    And this run of the control log holds for seeds 1 to 4

  Scenario: A leader dies before it has heard that its write was done
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the store loses the next 1 answers to writes of the control log
    And a command is proposed to the leader of the control log
    And the leader of the control log crashes
    And the control log commits "b"
    And the crashed controllers of the control log start again
    Then all controllers of the control log are in touch with the leader
    And this run of the control log holds for seeds 1 to 6

  Scenario: A follower that has read further than its leader knows does not go back
    Given a control log of 3 controllers
    When all controllers of the control log are in touch with the leader
    And the control log commits "a"
    And the leader of the control log is cut off from one follower
    And the leader of the control log hears no more of the store once its next write is done
    And 1 s pass in the control log
    And the network of the control log heals
    And 1 s pass in the control log
    Then a follower of the control log is ahead of its leader
    When every cut of the control log heals
    Then every running controller of the control log has applied "a,unheard"
    And this run of the control log holds for seeds 1 to 4

  Scenario: A group goes on from the checkpoint of an earlier release, in a generation above
    Given a control log of 3 controllers
    And a checkpoint of an earlier release in generation 4 that holds "a,b"
    When all controllers of the control log are in touch with the leader
    Then all controllers of the control log are in generation 5
    And the control log commits "c"
    And every running controller of the control log has applied "a,b,c"
    And this run of the control log holds for seeds 1 to 3
