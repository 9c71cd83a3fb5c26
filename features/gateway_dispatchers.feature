Feature: One gateway sends all requests for the keys of a server

  # Guards against two dispatchers for one server, and against one that another gateway cannot choose.
  Scenario: Gateways that hear the same peers select the same dispatcher
    Given 3 selectors of dispatchers in a group of 20 gateways
    Then all of them select the same dispatcher for each of 40 servers
    And each strong gateway of the zone is selected for at least 10 of them

  # Guards against dispatchers that are weak, far away, silent, or have just failed.
  Scenario Outline: Who is a candidate: <what>
    Given a selector of dispatchers in a group of 20 gateways
    When <change>
    Then the dispatchers of 40 servers are <who>

    Examples:
      | what                                    | change                                       | who                          |
      | strong gateways of the server's zone    | no gateway falls silent                      | all of a1, a2                |
      | not one that was not heard for 1 s      | a1 was last heard 1.3 s ago                  | all of a2                    |
      | weak ones of the zone if none is strong | a1, a2 are last heard 1.3 s ago              | 7 or more weak ones of the zone |
      | those of other zones if none is heard   | all of zone a are last heard 1.3 s ago       | all of b1, b2                |
      | not one that declined                   | a1 is excluded                               | all of a2                    |
      | one that declined, 1 s later            | a1 is excluded for 1.1 s                     | all of a1, a2                |

  # Guards against a dispatcher that loses all its servers because it does not reach one of them.
  Scenario: A dispatcher that does not reach one server stays that of the others
    Given a selector of dispatchers in a group of 20 gateways
    When the dispatcher of a server is excluded for that server
    Then only that server has another dispatcher
    And it has its former dispatcher again 1.1 s later

  # Guards against dispatchers in groups whose gateways hear each other directly.
  Scenario: A small group has no dispatchers
    Given a selector of dispatchers in a group of 16 gateways
    Then no server has a dispatcher

  # Guards against a selection that costs each request as much as a look at all gateways.
  Scenario: Candidates are determined five times a second at most, and hashed when they change
    Given a selector of dispatchers in a group of 20 gateways
    When 5000 requests for 160 servers come within 1 s
    Then peers were looked up at most 50 times
    And each server was hashed once for each candidate

  # Guards against requests of others that are not counted, or counted for longer than they last.
  Scenario: A dispatcher counts its own requests, and those of others as the newest source tells
    Given a dispatcher of a server with 4 slots, at which it has 2 requests
    Then the server has room for 2 more
    When reports of others tell of 1 request there
    Then the server has room for 1 more
    When the server reports 2 running requests
    Then the server has room for 2 more
    When the server reports 3 running and 1 waiting request
    Then the server has room for 0 more
    When 0.25 s pass at the dispatcher
    Then the server has room for 1 more

  # Guards against a queue that is never served again because no event tells that others have ended.
  Scenario: A waiting request is sent once the requests of others have ended
    Given gateways with a server of 1 slot that answers
    And the dispatcher hears of 1 request of others there
    When a caller sends a request to the dispatcher, and the others' request ends
    Then the caller gets status 200

  # Guards against more requests at a server than slots while several gateways have callers.
  Scenario: Callers of all gateways together use exactly the slots
    Given gateways with a server of 2 slots that holds
    When 4 callers of each gateway send a request
    Then the server has 2 requests at a time until all 12 are answered
    And all its connections come from the dispatcher

  # Guards against an order of requests by gateway instead of by priority.
  Scenario: The request with the higher priority goes first, whichever gateway it came to
    Given gateways with a server of 1 slot that holds
    When requests of priority 2 and then of priority 0 wait at the dispatcher for different gateways
    Then the server gets that of priority 0 first

  # Guards against key samples and budgets that count a request at two gateways.
  Scenario: A request counts where its caller's request arrived
    Given gateways with a server of 2 slots that answers
    When 3 callers of the weak gateway send a request
    Then only the weak gateway has sampled keys and counted requests for the retry budget

  # Guards against chains of gateways, and against a refusal by a receiver that is no dispatcher any more.
  Scenario: A request that was passed on is never passed on again
    Given gateways with a server of 2 slots that answers
    When a peer passes a request to a gateway that is not the dispatcher
    Then that gateway sends it itself

  # Guards against a change of behaviour in small groups.
  Scenario: In a group of 16 each gateway sends its requests itself
    Given 16 gateways with a server of 2 slots that answers
    When 3 callers of the weak gateway send a request
    Then all its connections come from the weak gateway
