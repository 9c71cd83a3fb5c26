Feature: A process whose needed task has ended does not go on

  Scenario: A controller whose search for the leader fails says so
    Given process failure: a controller whose table service raises a programming fault
    When process failure: the controller runs
    Then process failure: it reports that "controller:node" ended with "RuntimeError"

  Scenario: A process whose part fails ends with a typed error
    Given process failure: a part that fails after 1 s
    When process failure: the process runs
    Then process failure: it stopped both sides and ended with "process_failed"

  Scenario: A process that is asked to stop has not failed
    Given process failure: a part that never fails
    When process failure: the process runs and is asked to stop
    Then process failure: it stopped both sides and ended well
