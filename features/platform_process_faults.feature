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

  Scenario Outline: What a call may end with while the platform is down
    Given an outage of a process run in which a range of "b" moves to "c" and "a" is lost
    When a call on a key of <place> ends as <outcome> for <reason>
    Then the check of the outage finds <faults> faults

    Examples:
      | place           | outcome   | reason            | faults |
      | the moving one  | completed | nothing           | 0      |
      | the moving one  | not-run   | wrong_owner       | 0      |
      | the moving one  | not-run   | owner_unreachable | 1      |
      | the moving one  | unknown   | answer_lost       | 1      |
      | another of "b"  | not-run   | wrong_owner       | 1      |
      | the lost server | not-run   | owner_unreachable | 0      |

  Scenario: Two ranges that move at once, and an outage in which nothing completes
    Given an outage of a process run in which a range of "b" moves to "c" and "a" is lost
    When another range moves too and no call completes
    Then the check of the outage finds 2 faults
