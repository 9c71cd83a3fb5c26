Feature: The checkers of the control simulation see rules broken on purpose at orders and releases

  Scenario Outline: The checkers of the control simulation find <rule>
    When control simulation runs with the broken rule "<rule>"
    Then control simulation caught it and passed the sound rule on the same seed

    Examples:
      | rule                          |
      | keep-leavers                  |
      | open-grants-unsaid            |
      | grants-before-acknowledgement |
      | late-orders-unheard           |
      | long-holds-unsaid             |
      | release-without-waiting       |
      | release-under-old-token       |
      | late-closed-by-same-token     |
      | unanswered-as-not-taken       |
