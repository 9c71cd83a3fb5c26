Feature: The administration API of a gateway
  Operators ask a gateway at its address for metrics, with the same commands as any other process.

  Scenario: A gateway tells its servers, members and owners
    Given a gateway process with servers "s1" that answers and "k1" with keys
    When the gateway process's operator asks for status until the keys of "book" have an owner
    Then the gateway status names as leader and only member the process itself
    And the gateway status lists servers k1, s1 as live
    And the gateway status tells that the version in force is 1
    When the gateway process's operator asks who owns key 700 of "book"
    Then the gateway's answer is the range 0 to 65535 of "k1", at place 700

  Scenario: A server that leaves, and peers that are heard, show
    Given a gateway process with servers "s1" that answers and "k1" with keys
    When the gateway process gets configuration 2, and its server "s1" begins to leave
    And the gateway process hears 2 peers
    Then the gateway process metric "gateway_live_peers" becomes 2
    When the gateway process's operator asks for status until server "s1" is leaving
    Then the gateway status lists 2 peers beside the process itself

  Scenario Outline: What a gateway cannot answer is refused with a remedy
    Given a gateway process with servers "s1" that answers and "k1" with keys
    When the gateway process's operator sends <method> "<path>"
    Then the gateway's refusal has status <status> and kind "<kind>", and its remedy names "<remedy>"

    Examples:
      | method | path                                | status | kind               | remedy         |
      | GET    | /admin/v1/owners?service=nowhere    | 404    | unknown_service    | book, shop     |
      | GET    | /admin/v1/owners?service=book&key=x | 400    | bad_request        | 65535          |
      | GET    | /admin/v1/settings                  | 404    | unknown_node       | owners         |
      | PUT    | /admin/v1/owners                    | 405    | method_not_allowed | GET            |
      | POST   | /admin/v1/servers/s1/drain          | 405    | method_not_allowed | Stop the server |
