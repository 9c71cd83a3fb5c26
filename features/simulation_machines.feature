Feature: Simulated machines behave as real ones where it matters

  Scenario: A frozen process runs nothing and goes on as if nothing had happened
    Given two simulated processes
    When the second counts ticks of 0.1 s and is frozen from 1.05 s to 4.05 s
    Then it counted no tick while it was frozen
    And it read its clock 3 s later right after its return

  Scenario: Bytes for a frozen process wait for its return
    Given two simulated processes
    When the first sends bytes to the second, which is frozen from 1.0 s to 3.0 s
    Then the bytes arrive after 3.0 s

  Scenario: A killed process runs nothing any more, not even its cleaning up
    Given two simulated processes
    When the second is killed while a task of it has a finally block to run
    Then the block was not run

  Scenario Outline: A cut of one way holds back that way only
    Given two simulated processes
    When the way from the <source> to the <target> is cut from 0.5 s to 2.0 s
    Then bytes from the <source> arrive after 2.0 s and bytes from the <target> before 1.0 s

    Examples:
      | source | target |
      | first  | second |
      | second | first  |

  Scenario: Clocks differ in offset and drift within the stated bound
    Given the clocks of 50 simulated processes
    Then their rates lie within 1 % of true time and some lie on either bound
    And their sleeps last as long as their own clocks say

  Scenario: An answer can be lost after the call took effect
    Given two simulated processes
    When every answer of the second to the first is lost
    Then the call took effect and the first was told that the answer is missing

  Scenario: A call that meets a cut arrives late, after its caller has given up
    Given two simulated processes
    When the first calls the second over a connection that is cut for 3 s, and waits 1 s
    Then the first was told that the answer is missing and the call took effect after 3 s

  Scenario: The same seed gives the same run
    When seed 7 of a short mixed run is run twice
    Then both runs have the same histories

  Scenario: Different seeds give different runs
    When seeds 7 and 8 of a short mixed run are run
    Then the runs have different histories
