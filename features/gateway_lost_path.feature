Feature: Gateways that lose their path to all servers, while callers, store and peers reach them

  # Guards against callers who are refused, and keys that end, while another gateway reaches all servers.
  @alone
  Scenario Outline: Callers are served while gateways have no path to any server: <who>, <way>
    When the path to all servers is lost by <who>: <way>
    Then callers of all gateways are served alike, and keys as well

    Examples:
      | who                              | way                |
      | five of eight and the leader     | packets lost       |
      | all but one and the leader       | reset              |
      | the leader alone                 | no new connections |
      | one that does not lead           | packets lost       |

  Scenario Outline: A checker of lost paths sees its rule broken: <rule>
    Given a record of gateways without a path in which <rule>
    Then the checkers of lost paths find just <finding>

    Examples:
      | rule                                       | finding       |
      | nothing breaks                             | nothing       |
      | a cut gateway refuses all                  | served_alike  |
      | a cut gateway refuses what has a key       | served_alike  |
      | keys end at the other gateways             | served        |
      | a gateway refuses all after the cut        | served        |
      | an unsafe request runs twice               | single_runs   |
      | a refused request has run                  | refusals_kept |
      | a request begins after its caller has left | left          |

  Scenario: Drawn cuts leave a gateway with its path, and hit the leader or not
    Then each draw cuts at least one gateway and never all of 8
