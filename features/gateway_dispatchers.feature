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

  # Guards against requests that are lost, or run twice, where the dispatcher has done nothing.
  Scenario Outline: A gateway sends a request itself if the dispatcher did nothing with it: <failure>
    Given gateways with a server of 2 slots that answers
    And the dispatcher <failure>
    When a caller of the weak gateway sends an unsafe request
    Then the caller gets status 200
    And the server got 1 request, from the weak gateway, which counts 1 as <result>
    And the weak gateway selects <selected> for this server, and <others> for others

    Examples:
      | failure                     | result   | selected               | others                 |
      | is stopping                 | declined | the other candidate    | the other candidate    |
      | has its most requests       | declined | the other candidate    | the other candidate    |
      | has an older configuration  | declined | the other candidate    | the other candidate    |
      | does not reach the server   | declined | the other candidate    | each candidate         |
      | refuses connections         | not_sent | the other candidate    | the other candidate    |
      | stands still                | not_sent | the other candidate    | the other candidate    |

  # Guards against an unsafe request that is sent on a connection at the moment in which its peer ends.
  Scenario: No connection to a dispatcher that stops is used again
    Given gateways with a server of 2 slots that answers
    And the dispatcher is stopping
    When 2 requests are offered to it
    Then 2 connections to the dispatcher were opened

  # Guards against an unsafe request that runs twice, and a safe one that is lost, after a broken hop.
  Scenario Outline: A request without a reply is repeated only if its route allows it: <kind>
    Given gateways with a server of 2 slots that answers
    And the dispatcher breaks off once it has read a request
    When a caller of the weak gateway sends <kind> request
    Then the caller gets <end>, and the server got <count> request

    Examples:
      | kind                     | end         | count |
      | a safe                   | status 200  | 1     |
      | a safe, without a budget | a loss      | 0     |
      | an unsafe                | a loss      | 0     |

  # Guards against callers that wait for a machine that is paused or cut off until their time is over.
  Scenario Outline: A dispatcher falls silent with a request in hand: <kind>
    Given gateways with a server of 2 slots that answers
    And the dispatcher keeps requests and is heard no more
    When a caller of the weak gateway sends <kind> request
    Then the caller gets <end>, and the server got <count> request

    Examples:
      | kind      | end        | count |
      | a safe    | status 200 | 1     |
      | an unsafe | a loss     | 0     |

  # Guards against an unsafe request that is given up as lost though its dispatcher still answers in time.
  Scenario: An unsafe request is not taken back from a silent dispatcher
    Given gateways with a server of 2 slots that answers
    And the dispatcher is heard no more and then answers a request itself
    When a caller of the weak gateway sends an unsafe request
    Then the caller gets status 200, and the server got 0 request

  # Guards against a gateway that stood still, takes all others for silent and sends everything twice.
  Scenario: A gateway that stood still itself takes no request back
    Given gateways with a server of 2 slots that holds
    When the weak gateway stands still for 0.6 s with a safe request at the dispatcher
    Then the caller gets status 200
    And the server got 1 request in all

  # Guards against requests that are refused or sent to a former owner when keys move.
  Scenario: The owner changes while a request waits at the dispatcher
    Given gateways with a server of 1 slot that holds
    When the keys move to another server while a request of the weak gateway waits
    Then the dispatcher has sent that request to the new owner

  # Guards against a herd of requests that each gateway sends itself once an owner is granted its keys.
  Scenario: A request that waited for its owner is passed to the dispatcher
    Given gateways with a server of 2 slots that answers
    When the owner is granted its keys while a request of the weak gateway waits
    Then the caller gets status 200
    And all its connections come from the dispatcher

  # Guards against two dispatchers that give out the same slots for longer than reports take.
  Scenario: A second dispatcher counts the requests of the first
    Given gateways with a server of 2 slots that holds
    When the dispatcher has 2 requests there and the weak gateway passes one to the other candidate
    Then the server has no more than 2 requests at a time

  # Guards against an unsafe request on a connection that has died unnoticed, and against a connection for each hop.
  Scenario Outline: An unsafe request asks for a sign of life unless there was a reply just before: <what>
    Given gateways with a server of 2 slots that answers
    When 4 <kind> requests are passed on, <apart_s> s apart
    Then 1 connections to the dispatcher were opened
    And <count> signs of life were asked for

    Examples:
      | what                               | kind   | apart_s | count |
      | the last reply is old              | unsafe | 1       | 4     |
      | the last reply is new              | unsafe | 0.3     | 1     |
      | repeatable requests need no sign   | safe   | 1       | 0     |

  # Guards against repeats that no budget counts, and a budget that is used at two gateways.
  Scenario: A lost answer is repeated by the budget of the caller's gateway
    Given gateways with a server of 2 slots that loses the answer, then answers
    When a caller of the weak gateway sends a safe request
    Then the caller gets status 200
    And the server got 2 request in all
    And 1 repeat was counted, at the weak gateway

  # Guards against callers that are told another time to come back than the dispatcher computed.
  Scenario: A refusal of the dispatcher is passed on with its time to come back
    Given gateways with a server of 1 slot that holds
    When the dispatcher refuses a request of the weak gateway for overload
    Then the caller gets the dispatcher's time to come back

  # Guards against work at the dispatcher and its server for callers that have left.
  Scenario: A caller that leaves ends the work at the server
    Given gateways with a server of 2 slots that holds
    When a caller of the weak gateway leaves while its request is at the server
    Then the server sees the end of the connection
