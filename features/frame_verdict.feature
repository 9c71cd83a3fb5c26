Feature: The verdict of a test run
  A run is accepted only when nothing failed but what KNOWN-RED.txt lists.

  Scenario: Everything passes
    Given the frame results
      | status | name            |
      | passed | mypy            |
      | passed | a.feature: one  |
    And no frame list of known failures
    When the frame verdict is printed
    Then the frame verdict is accepted
    And the last frame line is "2 passed, 0 failed"

  Scenario Outline: A status other than passed is a failure
    Given the frame results
      | status   | name            |
      | passed   | mypy            |
      | <status> | a.feature: one  |
    And no frame list of known failures
    When the frame verdict is printed
    Then the frame verdict is not accepted
    And the last frame line is "1 passed, 1 failed"

    Examples:
      | status    |
      | failed    |
      | error     |
      | skipped   |
      | undefined |
      | untested  |

  Scenario: A listed failure is printed, counted and passed over
    Given the frame results
      | status | name            |
      | passed | mypy            |
      | failed | a.feature: one  |
    And the frame list of known failures
      """
      a.feature: one | scripts/test a.feature | what was seen | issue 4
      """
    When the frame verdict is printed
    Then the frame verdict is accepted
    And the frame lines contain "known red: a.feature: one | scripts/test a.feature | what was seen | issue 4"
    And the last frame line is "1 passed, 1 failed"

  Scenario: A failure beside a listed one is not passed over
    Given the frame results
      | status | name            |
      | passed | mypy            |
      | failed | a.feature: one  |
      | failed | a.feature: two  |
    And the frame list of known failures
      """
      a.feature: one | scripts/test a.feature | what was seen | issue 4
      """
    When the frame verdict is printed
    Then the frame verdict is not accepted
    And the frame lines contain "FAILED a.feature: two"

  Scenario: A listed test that passes is named
    Given the frame results
      | status | name            |
      | passed | a.feature: one  |
    And the frame list of known failures
      """
      a.feature: one | scripts/test a.feature | what was seen | issue 4
      """
    When the frame verdict is printed
    Then the frame verdict is accepted
    And the frame lines contain "passes, to be taken off KNOWN-RED.txt: a.feature: one"

  Scenario: A listed test that the run does not have fails the run
    Given the frame results
      | status | name            |
      | passed | a.feature: one  |
    And the frame list of known failures
      """
      a.feature: gone | scripts/test a.feature | what was seen | issue 4
      """
    When the frame verdict is printed
    Then the frame verdict is not accepted

  # A case that is kept outside the default run has a line of its own in the list.
  Scenario: A listed script is printed, and counts neither as passed nor as failed
    Given the frame results
      | status | name            |
      | passed | a.feature: one  |
    And the frame list of known failures, beside an executable "review/3/run.sh"
      """
      review/3/run.sh: two owners | SEED=1 review/3/run.sh | what was seen | issue 4
      """
    When the frame verdict is printed
    Then the frame verdict is accepted
    And the frame lines contain "known red, not run here: review/3/run.sh: two owners | SEED=1 review/3/run.sh | issue 4"
    And the last frame line is "1 passed, 0 failed"

  Scenario Outline: A listed script that <state> fails the run
    Given the frame results
      | status | name            |
      | passed | a.feature: one  |
    And the frame list of known failures, beside <files>
      """
      <script>: two owners | SEED=1 <script> | what was seen | issue 4
      """
    When the frame verdict is printed
    Then the frame verdict is not accepted

    Examples:
      | state                 | files                         | script           |
      | does not exist        | an executable "review/4.sh"   | review/3/run.sh  |
      | cannot be executed    | a plain "review/3/run.sh"     | review/3/run.sh  |
      | is a folder           | an executable "review/3/a.sh" | review/3         |
      | is a feature file     | an executable "b.feature"     | b.feature        |

  Scenario: A list of nine lines fails the run and excuses nothing
    Given the frame results
      | status | name            |
      | passed | mypy            |
      | failed | a.feature: one  |
    And the frame list of known failures
      """
      a.feature: one | scripts/test a.feature | what was seen | issue 4
      a.feature: two | scripts/test a.feature | what was seen | issue 4
      a.feature: three | scripts/test a.feature | what was seen | issue 4
      a.feature: four | scripts/test a.feature | what was seen | issue 4
      a.feature: five | scripts/test a.feature | what was seen | issue 4
      a.feature: six | scripts/test a.feature | what was seen | issue 4
      a.feature: seven | scripts/test a.feature | what was seen | issue 4
      a.feature: eight | scripts/test a.feature | what was seen | issue 4
      a.feature: nine | scripts/test a.feature | what was seen | issue 4
      """
    When the frame verdict is printed
    Then the frame verdict is not accepted
    And the last frame line is "1 passed, 2 failed"

  Scenario: A run in which nothing passed is not accepted
    Given no frame results
    And no frame list of known failures
    When the frame verdict is printed
    Then the frame verdict is not accepted
