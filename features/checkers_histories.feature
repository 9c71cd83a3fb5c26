Feature: Checkers find broken promises in histories

  Each history below is made by hand. The sound one passes; each with one promise broken is found by
  the checker of that promise.

  Scenario: A sound history passes every checker
    Given a sound history for the checkers
    Then no checker finds anything

  Scenario Outline: A broken promise is found
    Given a sound history for the checkers
    When <fault> is put into the history
    Then the checker "<checker>" finds it

    Examples:
      | fault                                            | checker                   |
      | a second owner during the lease of the first     | sole ownership            |
      | a second owner of a part of the range            | sole ownership            |
      | an effect after the next owner has begun         | effects under ownership   |
      | an execution under an older token                | tokens grow               |
      | an assignment that goes back                     | assignments kept          |
      | an assignment that vanishes                      | assignments kept          |
      | two owners under one token                       | assignments kept          |
      | two leaders at the same moment                   | one leader                |
      | a write that takes effect twice                  | at most once              |
      | an effect of a request answered as not run       | not run                   |
      | an answer cut short                              | whole answers             |
      | the answer to another request                    | whole answers             |
      | an old version used after the time limit         | settings in force         |
      | a version that goes back at a router             | settings in force         |
      | two changes accepted as one version              | settings in force         |
      | an accepted change replaced under its version    | accepted settings kept    |
      | a refused change that is used                    | refused settings          |
      | new work for a server that was to leave          | leaving servers idle      |
      | a call cut by a planned stop                     | planned stop cuts nothing |
      | a key that is not served at the end              | served at the end         |

  Scenario: An owner that follows a lapsed lease is no fault
    Given a sound history for the checkers
    When the next owner begins when the lease of the first has lapsed
    Then no checker finds anything

  Scenario: An unowned range after the loss of its owner is no fault
    Given a sound history for the checkers
    When a committed range has no owner for a while
    Then no checker finds anything

  Scenario: The time until a key is served again is measured from the loss
    Given a sound history for the checkers
    When the owner of the key is lost at 4.0 s and a call invoked at 4.5 s completes at 6.5 s
    Then the checkers measure that the key was served again after 2.5 s
