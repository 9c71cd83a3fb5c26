Feature: Rows of tables and leaders that the store may have lost

  Scenario: The first table of a new service waits for nobody
    Given a gateway first table world in which nobody holds keys
    When 2 s of gateway owner time pass
    Then gateway owner "a" holds half of the keys, and "b" the others
    And the gateway first table names no former owners

  Scenario: Servers that answer a release get keys under tokens above all that they have seen
    Given a gateway first table world in which "a" holds all keys under token 900
    When 3 s of gateway owner time pass
    Then gateway owner "a" holds half of the keys, and "b" the others
    And no two gateway owners held one key

  Scenario Outline: A server that does not answer keeps all keys from others as long as it may hold them
    Given a gateway first table world in which "a" holds all keys and <silence>
    When <wait> s of gateway owner time pass
    Then no two gateway owners held one key
    And gateway first table server "b" holds <what>

    Examples:
      | silence               | wait | what           |
      | is silent             | 9    | no key         |
      | cannot be reached     | 9    | no key         |
      | cannot be reached     | 40   | some keys      |

  Scenario: A server that answers late is waited for and no longer
    Given a gateway first table world in which "a" holds all keys and is silent
    When 4 s of gateway owner time pass
    And gateway owner "a" answers again
    And 4 s of gateway owner time pass
    Then gateway first table server "b" holds some keys
    And no two gateway owners held one key

  Scenario: A server that refuses every token does not use up those of its era
    Given a gateway first table world in which "a" refuses every grant
    When 30 s of gateway owner time pass
    Then a quarter of the tokens of the gateway owner era at most is used

  Scenario Outline: Keys of a table are waited for where the row of the leader that granted them is lost
    Given a gateway first table world with the table alone, by which "a" holds all keys and cannot be reached
    When <wait> s of gateway owner time pass
    Then no two gateway owners held one key
    And gateway first table server "b" holds <what>

    Examples:
      | wait | what      |
      | 9    | no key    |
      | 40   | some keys |
