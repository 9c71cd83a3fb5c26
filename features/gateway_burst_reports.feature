Feature: Reports of a leader that grants many ranges at once

  Scenario Outline: Each peer gets <each> for <grants> grants where there are <peers> peers
    Given a gateway reporter with <peers> peers
    When the gateway reporter is told of <grants> grants, and its next report is due
    Then each peer of the gateway reporter has got <each>

    Examples:
      | peers | grants | each        |
      | 7     | 20     | 20 reports  |
      | 15    | 20     | 20 reports  |
      | 16    | 185    | 1 report    |
      | 69    | 185    | 1 report    |

  Scenario: What was told once is not told again for it
    Given a gateway reporter with 69 peers
    When the gateway reporter is told of 185 grants, and its next report is due
    And the gateway reporter's next period ends
    Then each peer of the gateway reporter has got 1 report
