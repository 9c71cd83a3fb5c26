Feature: The bench measures routing on virtual time

  Scenario: The same seed gives the same figures, byte for byte
    Given a small bench installation
    When the bench runs "joins-and-leaves" twice under "ours"
    Then both bench runs have the same figures
    And the bench figures change with the seed

  Scenario: A flood leaves the well-behaved group its goodput, and the bench tells where it does not
    Given a small bench installation
    When the bench runs "flood" under "ours" and under "consistent-hashing"
    Then the worst group of the bench keeps at least 95% of its goodput under "ours"
    And the worst group of the bench keeps less than 95% of its goodput under "consistent-hashing"

  Scenario: The loss of a server shows as keys that moved and time without service
    Given a small bench installation
    When the bench runs "loss" under "ours"
    Then the bench counts a third of the keys as moved by loss
    And the bench counts between 1 s and 3 s without service for each of those keys
    And the bench finds no write that ran twice and no "not run" that ran

  Scenario: Consistent hashing moves the keys of a lost server and no others
    Given a bench ring of 5 servers
    When the bench ring loses one
    Then only the keys of that server have another owner in the bench

  Scenario Outline: Weighted max-min shares
    Then the bench shares <total> over demands <demands> by weights <weights> as <parts>

    Examples:
      | total | demands   | weights | parts    |
      | 30    | 100,100   | 2,1     | 20,10    |
      | 30    | 5,100     | 2,1     | 5,25     |
      | 30    | 5,100,100 | 1,2,3   | 5,10,15  |
      | 30    | 10,10     | 1,9     | 10,10    |

  Scenario: Jain's index
    Then the bench gives Jain's index 1 for equal values
    And the bench gives Jain's index 0.25 where one of four has all
