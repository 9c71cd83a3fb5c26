Feature: Small cases are searched exhaustively within a bound

  A deviation is one step away from the usual choice of a delay, a loss or an order; every schedule
  with at most the stated number of deviations is run.

  Scenario: One lease handover
    When every schedule of the case "lease handover" with at most 3 deviations is run
    Then the search is exhausted after at least 500 schedules and finds nothing

  Scenario: One settings race
    When every schedule of the case "settings race" with at most 5 deviations is run
    Then the search is exhausted after at least 200 schedules and finds nothing

  Scenario Outline: The search finds a broken rule
    Given the rule "<rule>" is broken for the search
    When every schedule of the case "<case>" with at most <bound> deviations is run
    Then the search finds a violation that says "<text>"

    Examples:
      | rule                   | case           | bound | text            |
      | skip-lapse-wait        | lease handover | 3     | sole ownership  |
      | lease-from-receipt     | lease handover | 3     | sole ownership  |
      | forget-earlier-leases  | lease handover | 3     | sole ownership  |
      | renew-lost-servers     | lease handover | 3     | sole ownership  |
      | settings-without-table | settings race  | 5     | was accepted as |
