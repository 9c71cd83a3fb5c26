Feature: Servers that ask for rest, or say that they leave
  What users saw: a server had turned a gateway away and asked it for 3 s of rest, and got three
  requests from it within that time, as did its neighbours from all gateways; over a tenth of the
  requests to their service were not served for seconds.

  Order of events: the server answers 503 with the seconds for which it wants nothing. The gateway
  tells the caller to come back in a tenth of a second. The next request for a key of that server
  waits for nothing and goes there, is turned away, and so on. The leader sees a server without load
  and grants it more keys.

  Cause: nobody read what a server asks for in its answer. Servers that said in an answer that they
  leave were not heard either: only their entries were.

  Evidence: on one such day 95 lines `request:refused` with `reason=server_refused` at eight gateways,
  all of three servers and all after a wait of less than a millisecond, and a `range:granted` to one
  of these three in the middle of its rest.

  Scenario: Servers of each service ask every gateway for rest, again and again
    Given 8 crash gateways before 14 servers of each service
    And requests beside them at 200 a second for 14 s
    And from 2 s on 3 servers of each service turn all away for 9 s and ask for 3 s of rest
    When the requests beside them have ended
    Then servers asked for rest and got no more than 2 requests of a gateway within it

  Scenario: Servers of each service say in their answers that they leave, and nothing else says so
    Given 8 crash gateways before 14 servers of each service
    And requests beside them at 200 a second for 14 s
    And from 2 s on 3 servers of each service say in all answers that they leave
    When the requests beside them have ended
    Then servers said that they leave and got no request that was sent 2 s later

  Scenario Outline: The same in other groups, beside other troubles
    Given <gateways> crash gateways before 14 servers of each service
    And <lost> of the datagrams are lost
    And requests beside them at <per_s> a second for 11 s
    And after <at_s> s <what>
    And from 2 s on 3 servers of each service turn all away for 6 s and ask for 3 s of rest
    And from 4 s on 2 servers more of each service say in all answers that they leave
    When the requests beside them have ended
    Then servers asked for rest and got no more than 2 requests of a gateway within it
    And servers said that they leave and got no request that was sent 2 s later

    Examples:
      | gateways | lost | per_s | at_s | what                               |
      | 8        | 0.1  | 200   | 3    | all gateways start again           |
      | 8        | 0    | 200   | 3    | one gateway is cut from the others |
      | 20       | 0    | 200   | 3    | all gateways but one start again   |
      | 20       | 0.03 | 200   | 3    | no gateway hears another           |
      | 195      | 0    | 60    | 3    | the store is down                  |

  Scenario: Every server of a service asks every gateway for rest
    Given 8 crash gateways before 6 servers of each service
    And requests beside them at 60 a second for 14 s
    And from 2 s on 6 servers of each service turn all away for 5 s and ask for 2 s of rest
    When the requests beside them have ended
    Then servers asked for rest and got no more than 2 requests of a gateway within it
    And nothing waits for the end of a rest, and who comes back in time is served

  Scenario: A server that asks some gateways for rest serves the others
    Given 8 crash gateways before 6 servers of each service
    And requests beside them at 120 a second for 10 s
    And from 2 s on 1 servers of each service turn one gateway away for 6 s and ask for 3 s of rest
    When the requests beside them have ended
    Then servers asked for rest and got no more than 2 requests of a gateway within it
    And these servers ran requests of the others meanwhile

  Scenario Outline: Drawn rests and leavings beside restarts, cuts, outages and ends
    When the drawn run <seed> of servers' wishes is played
    Then no wish of a server was left unheeded

    Examples:
      | seed |
      | 2    |
      | 12   |

  Scenario: Calls that other servers make
    Given 8 crash gateways before 14 servers of each service
    And calls of servers of scheduler to catalogue at 150 a second for 12 s
    And from 2 s on 3 servers of each service turn all away for 6 s and ask for 3 s of rest
    And from 4 s on 2 servers more of each service say in all answers that they leave
    When the requests beside them have ended
    Then servers asked for rest and got no more than 2 requests of a gateway within it
    And servers said that they leave and got no request that was sent 2 s later
