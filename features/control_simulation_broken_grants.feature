Feature: The checkers of the control simulation see rules broken on purpose at grants and tables

  Scenario Outline: The checkers of the control simulation find <rule>
    When control simulation runs with the broken rule "<rule>"
    Then control simulation caught it and passed the sound rule on the same seed

    Examples:
      | rule                      |
      | grant-without-ruling-out  |
      | grant-while-work-runs     |
      | act-without-lease         |
      | same-token-after-move     |
      | renew-whole-after-move    |
      | predecessor-bound-ignored |
      | late-orders-ignored       |
      | write-without-conditions  |
