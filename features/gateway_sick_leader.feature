Feature: A leader that is heard but has lost the store

  Scenario: It is challenged while its peers still reach the store
    Given a gateway leader that is heard, whose last proof of leadership is 1.9 s old
    Then a gateway that reaches the store takes the leadership over

  Scenario: One whose answers of the store come late is left in office
    Given a gateway leader that is heard, whose last proof of leadership is 1.7 s old
    Then a gateway that reaches the store leaves it in office

  Scenario: Where the store is out for all the leader stays
    Given a gateway leader that is heard, whose last proof of leadership is 1.9 s old
    When the store answers no gateway for 3 s
    Then a gateway that does not reach the store leaves it in office
