Feature: A store that turns gateways away is asked by one call at a time
  In a large group. Each table that is followed, and each doubt about a feed, would else go on calling.

  Scenario: The readers of a gateway that is turned away make about one call a second and a half
    Given a probing store of 78 gateways that follow 3 tables
    When the probing store is turned away for 9 s
    Then at most 12 calls went to the probing store meanwhile
    And never two of them at the same time

  Scenario: All readers go on as soon as one of them was answered
    Given a probing store of 78 gateways that follow 3 tables
    When the probing store is turned away for 9 s
    And the probing store answers again for 2 s
    Then each of the 3 tables was read from the probing store

  Scenario: A large answer that is long on its way does not keep the other readers waiting
    Given a probing store of 78 gateways that follow 3 tables
    When the probing store is turned away for 9 s
    And the probing store answers again for 6 s, with a first answer that takes 15 s
    Then each of the 3 tables was read from the probing store

  Scenario Outline: Readers that are cancelled behind a long answer, and it, leave the way free
    Given a probing store of 78 gateways that follow 3 tables
    When the probing store is turned away for 9 s
    And the probing store answers again for <time> s, with a first answer that takes 15 s
    And the readers of the probing store are cancelled
    Then no call is under way at the probing store

    Examples: in the turn of the first probe, and after it
      | time |
      | 1.5  |
      | 6    |

  Scenario: A transaction goes out at once
    Given a probing store of 78 gateways that follow 3 tables
    When the probing store is turned away for 9 s
    Then a transaction reaches the probing store at once

  Scenario: In a small group every call goes out
    Given a probing store of 11 gateways that follow 3 tables
    When the probing store is turned away for 9 s
    Then at least 50 calls went to the probing store meanwhile
