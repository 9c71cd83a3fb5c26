Feature: Open connections that go silent for good, while new ones work

  # A poll on a silent connection looks like a quiet one until its time is over.
  Scenario Outline: A change is in force in time at <gateways> gateways though <silent> go silent, the store being <pace>
    Given <gateways> gateways in 3 zones that follow a <pace> store and hear one another
    When <silent> go silent and the operator writes a configuration and an evacuation 0.1 to 4 s later, 12 times
    Then each was in force everywhere 2 s after it was written, or 3 s after the silence began

    Examples:
      | gateways | silent                    | pace  |
      | 1        | the polls of the operator | quick |
      | 1        | all polls                 | quick |
      | 3        | the polls of the operator | quick |
      | 3        | all polls                 | quick |
      | 6        | the polls of the operator | quick |
      | 6        | all polls                 | quick |
      | 6        | the polls of the operator | slow  |
      | 6        | all polls                 | slow  |

  Scenario: Two gateways of a group without relays poll for the others, whoever is heard
    Given 6 gateways in 3 zones that follow a quick store and hear one another
    Then the gateways that watch the operator's rows are 1 and 2
    When gateway 1 is not heard any more
    Then the gateways that watch the operator's rows are 1, 2 and 3

  Scenario: Where a zone has a relay, that one watches for the others
    Given 7 gateways in 3 zones that follow a quick store and hear one another
    Then no gateway but a relay watches the operator's rows

  # The next connection of the pool has mostly gone silent as well.
  Scenario: A connection that rested while a request stayed unanswered is not used again
    Given a backend server that leaves the first request unanswered while two others rest
    When the request to the silent backend server has timed out, and another one is sent
    Then the backend server gets it over a new connection

  Scenario: A connection that answered while a request stayed unanswered is used again
    Given a backend server that leaves the first request unanswered while two others rest
    When a resting connection answers meanwhile, the request times out, and another one is sent
    Then the backend server gets it over the connection that answered

  Scenario: Rows are read whole over a new connection
    Given a platform folder store with pages of 3 rows
    And the platform folder store holds configuration 3 and a server
    When the platform folder reads all rows of "op" twice
    Then the platform folder store got each reading over a connection of its own
