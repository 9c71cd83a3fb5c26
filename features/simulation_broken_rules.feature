Feature: Each broken rule is found by its checker, and the sound rule passes on the same seed

  Scenario Outline: <rule>
    When the broken rules are run
    Then "<rule>" was caught and the sound rule passed on the same seed

    Examples: Back ends
      | rule                  |
      | lease-from-receipt    |
      | accept-older-grants   |
      | forget-token-check    |
      | forget-lease-check    |

    Examples: Control log
      | rule                    |
      | lead-without-reading    |
      | acknowledge-before-row  |
      | ignore-leader-lease     |
      | take-running-lease      |
      | write-without-condition |

    Examples: Controller
      | rule                        |
      | skip-lapse-wait             |
      | hand-over-unreleased        |
      | tokens-of-the-generation    |
      | settings-acknowledged-early |
      | keep-draining-servers       |

    Examples: Router
      | rule                    |
      | retry-after-lost-answer |
      | lost-answer-as-not-run  |
      | ignore-view-lease       |
      | pass-on-cut-answers     |
      | stop-without-finishing  |
