Feature: Real processes under faults

  Platform, controllers, routers and back ends run as processes on loopback. Callers send reads,
  and writes that must not run twice, without a pause. Histories are checked afterwards.

  Scenario: Faults one after the other break no promise
    Given a process run in which every key is served
    When in the process run a back end is killed
    And in the process run a back end is frozen and goes on
    And in the process run a router is frozen and goes on
    And in the process run the leader is frozen and goes on
    And in the process run the leader is killed and started again
    And in the process run a back end is killed while the platform is down
    And in the process run all controllers are killed and started again
    And the process run ends
    Then no checker finds a violation in the process run
    And the faults were felt in the process run
    And every completed call of the process run has its own whole answer
    And the checkers find a record of the process run that is altered
