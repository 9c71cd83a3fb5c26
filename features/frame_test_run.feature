Feature: Features run in several processes
  One process a feature; every scenario is recorded once, whatever happens to the processes.

  Scenario: The results do not depend on the number of processes
    Given the test run features
      | name    | step        |
      | a       | it passes   |
      | b       | it fails    |
      | c       | it passes   |
    When the test run takes place with 1 process
    And the test run takes place with 3 processes
    Then both test runs recorded the same lines
    And the test run recorded "passed" for the scenario of "a"
    And the test run recorded "failed" for the scenario of "b"
    And the test run recorded 3 lines

  Scenario: A process that dies is a failure that names its feature
    Given the test run features
      | name    | step              |
      | a       | it passes         |
      | b       | its process dies  |
      | c       | it passes         |
    When the test run takes place with 2 processes
    Then the test run recorded 3 lines
    And the test run recorded that the process of "b" failed

  Scenario: A feature that needs the machine for itself begins when the others have ended
    Given the test run features
      | name    | step              | tag    |
      | a       | it tells the time | @alone |
      | b       | it tells the time |        |
      | c       | it tells the time |        |
    When the test run takes place with 3 processes
    Then "a" began in the test run after all others had ended

  Scenario: A feature that does not exist is misuse
    Given the test run features
      | name | step      |
      | a    | it passes |
    When the test run is asked for a feature that does not exist
    Then the test run ends as misused
