Feature: No two servers hold a key on machines whose clocks and processes do not run evenly

  Scenario Outline: No server is granted keys early after the store's clock jumped <direction>
    When control simulation lets the store's clock jump <direction> beside moves, leaving servers and cuts
    Then control simulation found nothing in any of the runs

    Examples:
      | direction |
      | forward   |
      | backward  |
