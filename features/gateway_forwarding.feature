Feature: A gateway forwards requests whose servers only a peer reaches

  # Guards against a request that runs twice because a broken hop was taken for one that had not begun.
  Scenario Outline: A hop that breaks tells whether the peer may have acted on it: <moment>
    Given a peer that closes its connections <moment>
    When an unsafe request with a body of <bytes> bytes is forwarded to it
    Then forwarding it ends with <result>

    Examples:
      | moment                             | bytes    | result   |
      | before anything is read            | 20000000 | not_sent |
      | once the whole request is read     | 20000000 | no_reply |
      | once the whole request is read     | 100      | no_reply |
      | by refusing connections            | 100      | not_sent |

  Scenario: A forwarded request arrives as its caller sent it, and the answer as its server gave it
    Given a peer that takes forwarded requests
    When a request with every field set is forwarded to it
    Then the peer saw each field as it was sent, and the sender each field of the reply

  # Guards against work that goes on at a peer when the caller has left the first gateway.
  Scenario: A caller that leaves ends the work at the peer
    Given a peer that takes forwarded requests
    When a request is forwarded to it and its caller leaves
    Then the peer stops working on it

  Scenario Outline: A peer declines what it cannot take, having done nothing: <state>
    Given a peer that takes forwarded requests and <state>
    When an unsafe request with a body of 100 bytes is forwarded to it
    Then forwarding it ends with declined for <reason>
    And the peer worked on nothing

    Examples:
      | state                           | reason   |
      | is stopping                     | stopping |
      | has its most requests in hand   | busy     |

  # Guards against a lost path that is taken for servers that are gone, and the other way round.
  Scenario Outline: A lost path is told from servers that fail: <what>
    Given servers in three zones, of which <reached>
    When <failed> of the others fail
    Then the path of the gateway is <verdict>

    Examples:
      | what                          | reached               | failed | verdict |
      | one server crashes            | all others accept     | 1      | sound   |
      | a zone is lost                | those of two accept   | 3      | sound   |
      | no server accepts             | none accepts          | 2      | lost    |
      | one server has failed so far  | none accepts          | 1      | sound   |
      | all failed and accept again   | all others accept     | 9      | sound   |

  Scenario: A lost path is back when two servers accept connections
    Given servers in three zones, of which none accepts
    When 2 of the others fail
    And all servers accept connections again
    Then the gateway finds its path again

  # Guards against servers and requests that are blamed for the silence of a gateway's own links.
  Scenario Outline: Simulated gateways without a path are served by others: seed <seed>
    When the simulated run of lost paths of seed <seed> is played
    Then the run of lost paths broke nothing

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 4    |
      | 5    |

  # Guards against a request that runs at more servers than its route allows because hops brought no reply.
  Scenario Outline: A hop without a reply counts as an attempt: <kind>, at most <most> attempts
    Given a <kind> request of a route with at most <most> attempts whose servers only peers reach
    When both peers bring no reply
    Then it was offered to <peers> of them and then lost

    Examples:
      | kind   | most | peers |
      | safe   | 3    | 2     |
      | safe   | 1    | 1     |
      | unsafe | 3    | 1     |
