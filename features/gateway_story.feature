Feature: The story of a request from the gateways' logs

  Scenario: A request's own lines and what its gateways believed are told in order
    Given gateway story log lines of two gateways in any order
    When the gateway story of request "r-1" is told
    Then the gateway story holds the request's lines, its server, its key's range and its leader
    And the gateway story leaves out other requests, servers and ranges

  Scenario: The story of a request that was sent to no server tells of the one it waited for
    Given gateway story log lines of two gateways in any order
    When the gateway story of request "r-3" is told
    Then the gateway story holds "server:vanished" of server "s-4"

  Scenario: An unknown id and an unreadable log are told as such
    Given gateway story log lines of two gateways in any order
    Then the gateway story of request "r-9" says that no line names it
    And the gateway story of a missing log is refused with a remedy
