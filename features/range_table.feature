Feature: The table of a service's ranges

  Scenario: A patched table equals one that is built anew
    Then range table: for all tables and changes the patched table equals the rebuilt one

  Scenario: A change that does not fit is refused
    Then range table: for all tables a change with a wrong range or an overlap is refused

  Scenario: A place is found in the range that holds it
    Then range table: for all places the range found holds the place
