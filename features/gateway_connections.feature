Feature: Gateways of a large group keep few connections open and use them again

  Scenario: Naming connected servers saves most connections and delays no request
    When 85 gateways send 280 requests a second for 30 s to 69 servers of 2 slots, each for 0.25 s of work
    And the same requests are sent without naming connected servers
    Then at most 0.3 connections were opened for each request
    And no connected server got more than 2 requests at a time
    And requests did not wait longer for a slot or an answer than without the names

  Scenario Outline: The broker takes a connected server only if it is free and nearly as fast as the best one: <case>
    Given servers with service times of 0.1, 0.12, 0.13 and 0.3 s, of which <free> have a free slot
    When a request names <named> as connected
    Then it gets server <chosen>

    Examples:
      | case                                | free    | named       | chosen |
      | no names                            | a b c d | none        | a      |
      | a name that is nearly as fast       | a b c d | b           | b      |
      | the first name that fits            | a b c d | d b a       | b      |
      | a name beyond the factor            | a b c d | c           | a      |
      | a name without a free slot          | a c d   | b           | a      |
      | a server that the broker has not    | a b c d | x           | a      |
      | more names than are read            | a b c d | x y z d b   | a      |
      | the best one is slow                | c d     | d c         | c      |

  Scenario: A gateway names the servers of the zone with its oldest idle connections, at most four
    Given a gateway with idle connections to 6 servers, opened one after the other
    Then it names the 4 oldest of them for their service and zone, and none for another
    When the oldest connection is in use, the next is closed by its server and a third one expires
    Then it names the 3 others

  Scenario: Requests for a slot carry the names; an older gateway's request has none
    Then a request for a slot with 4 names is read back the same
    And 4 names cost 18 bytes
    And a request for a slot without names is encoded as before
