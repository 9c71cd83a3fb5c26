Feature: A router that starts takes a recent view from the object store
  The view of the object store is a start only: a controller confirms it and adds what is newer.

  Scenario: A recent view spares the whole view
    Given router start: an object with the view of version 1, and a change since then
    When router start: a router starts
    Then router start: its first poll knew version 1 and it got a delta only
    And router start: it has the new owner in force

  Scenario: A view that no controller has confirmed is not acted upon
    Given router start: an object with the view of version 1, and a change since then
    When router start: a router starts while no controller answers
    Then router start: a request is refused at once as "view_expired"

  Scenario Outline: Without a usable object the router asks for the whole view
    Given router start: <object>
    When router start: a router starts
    Then router start: its first poll knew version <version>
    And router start: it has the new owner in force

    Examples:
      | object                                          | version |
      | no object                                       | 0       |
      | an object store that is down                    | 0       |
      | an object that is no view                       | 0       |
      | an object with the view of another generation   | 1       |
