Feature: The checkers of the control simulation see rules broken on purpose at leadership and views

  Scenario Outline: The checkers of the control simulation find <rule>
    When control simulation runs with the broken rule "<rule>"
    Then control simulation caught it and passed the sound rule on the same seed

    Examples:
      | rule                      |
      | act-before-turn           |
      | hold-counted-short        |
      | gone-when-unlisted        |
      | grant-before-row          |
      | write-without-leading     |
      | challenge-blindly         |
      | configuration-goes-back   |
