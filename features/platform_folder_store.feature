Feature: The platform folder speaks with the platform's store

  Scenario: A part of a table is read whole, page by page
    Given a platform folder store with pages of 3 rows
    And the platform folder store holds 10 rows in part "p" and 2 in part "q"
    When the platform folder reads part "p"
    Then the platform folder got the 10 rows of part "p" in order, at the store's version

  Scenario: An empty part
    Given a platform folder store with pages of 3 rows
    When the platform folder reads part "p"
    Then the platform folder got the 0 rows of part "p" in order, at the store's version

  Scenario: The feed answers changed rows, removed ones too, and where to go on from
    Given a platform folder store with pages of 3 rows
    And the platform folder store holds 4 rows in part "p" and 0 in part "q"
    When one row of the platform folder store is changed and one removed
    Then the platform folder's feed from version 4 gives just these
    And the platform folder's feed from the newest version gives nothing

  Scenario: A transaction is made whole, under its conditions
    Given a platform folder store with pages of 3 rows
    When the platform folder commits two rows that must be absent
    Then the platform folder store holds both under the version that was answered
    When the platform folder commits two rows that must be absent
    Then the platform folder's call fails as ConditionFailed
    And the platform folder sees no trouble

  Scenario: History that is gone
    Given a platform folder store with pages of 3 rows
    And the platform folder store holds 4 rows in part "p" and 0 in part "q"
    And the platform folder store forgot its history before version 3
    When the platform folder follows from version 1
    Then the platform folder's call fails as HistoryGone
    And the platform folder sees no trouble

  Scenario Outline: Refusals and lost answers
    Given a platform folder store with pages of 3 rows
    And the platform folder store <trouble> the next call
    When the platform folder <call>
    Then the platform folder's call fails as <error>
    And the platform folder sees trouble

    Examples:
      | trouble          | call                                      | error            |
      | answers 429 to   | reads part "p"                            | StoreRefused     |
      | answers 503 to   | follows from version 1                    | StoreRefused     |
      | answers 503 to   | commits two rows that must be absent      | StoreRefused     |
      | loses            | reads part "p"                            | StoreUnreachable |
      | loses            | commits two rows that must be absent      | StoreUnreachable |
      | leaves           | reads part "p"                            | StoreUnreachable |

  Scenario: A lost answer may still have been a write
    Given a platform folder store with pages of 3 rows
    And the platform folder store loses the next call
    When the platform folder commits two rows that must be absent
    Then the platform folder store holds both rows nevertheless

  Scenario: A store that cannot be reached has done nothing
    Given a platform folder store at whose address nothing listens
    When the platform folder commits two rows that must be absent
    Then the platform folder's call fails as StoreRefused
    And the platform folder sees trouble

  Scenario: The last sound configuration stays in force
    Given a platform folder store with pages of 3 rows
    And the platform folder store holds configuration 3 and a server
    When the platform folder's followers run
    Then the platform folder's configuration is 3 and its server is known
    When the platform folder store gets an unreadable configuration, then a change of the server
    Then the platform folder's configuration is 3 and its server drains
    When the platform folder store gets an unreadable entry of the server, thrice
    Then the platform folder's log tells once that the entry cannot be read, and why
    When the platform folder store gets configuration 2, then 9
    Then the platform folder's configuration is 9, and 2 never was

  Scenario: A row that changes while its part is read page by page is not lost
    Given a platform folder store with pages of 3 rows
    And the platform folder store holds 10 rows in part "p" and 0 in part "q"
    When a row of its first page changes while the platform folder reads part "p"
    Then the platform folder's reading and the feed after it hold the change
