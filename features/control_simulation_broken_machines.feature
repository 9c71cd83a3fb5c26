Feature: The checkers of the control simulation see rules broken on purpose on machines that do not run evenly

  Scenario Outline: The checkers of the control simulation find <rule>
    When control simulation runs with the broken rule "<rule>"
    Then control simulation caught it and passed the sound rule on the same seed

    Examples:
      | rule                         |
      | orders-to-paused-as-answered |
      | clock-without-suspension     |
      | release-closes-late-grants   |
      | look-before-connection       |
      | any-421-ends-a-server        |
      | earlier-grants-untold        |
