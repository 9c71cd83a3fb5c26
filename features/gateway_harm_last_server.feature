Feature: A request that crashes the last server of all
  What callers saw: with one server left, a request that crashed it came back and crashed it again, ten
  times in 30 s, and everybody else was refused meanwhile.

  # Guards against crashes that are never counted because no other server can vouch for the path.
  Scenario Outline: Crashes are counted where no other server accepts a connection: <servers> servers that <how>
    Given 3 crash gateways before <servers> servers of one service <keys> keys
    And servers that <how>
    When a request to scheduler that ends its servers comes <times> times, one each <gap_s> s
    Then at most 3 runs of the request to scheduler began later than 3 s after it had ended three

    Examples:
      | servers | how                                             | keys    | times | gap_s |
      | 1       | start again under their id                      | without | 50    | 0.5   |
      | 1       | start again under their id                      | with    | 50    | 0.5   |
      | 1       | end as they do                                  | without | 50    | 0.5   |
      | 1       | say nothing more when they end                  | without | 50    | 0.5   |
      | 2       | start again under their id                      | without | 80    | 0.4   |
      | 2       | end as they do                                  | without | 80    | 0.4   |
      | 2       | start again under their id                      | with    | 80    | 0.4   |
      | 1       | are back before a connection is refused         | without | 60    | 0.3   |
      | 2       | are back before a connection is refused         | without | 60    | 0.3   |
      | 1       | are back before a connection is refused, and listed late | without | 20 | 1.5 |

  # Guards against crashes that are forgotten with the gateway which alone saw the connection break.
  Scenario: A gateway that starts between two crashes of the last server learns of the first
    Given 3 crash gateways before 1 servers of one service without keys
    And servers that start again under their id
    And after 9 s all gateways but one start again
    When a request to scheduler that ends its servers comes 50 times, one each 0.5 s
    Then at most 3 runs of the request to scheduler began later than 3 s after it had ended three

  # Guards against a cut that refuses connections being taken for a crash: the same run is back after it.
  Scenario Outline: Requests that were lost in cuts are served after them: <servers> servers
    Given 3 crash gateways before <servers> servers of one service without keys
    And a page of scheduler that one caller reads 10 times a second for 20 s
    And 4 cuts of all gateways from the servers, one each 4 s, that refuse connections for 1.5 s
    When the requests beside them have ended
    Then at most 0 tries of requests that do no harm were refused for it
    And the page was served after the last cut
    And no gateway keeps a lost request

    Examples:
      | servers |
      | 1       |
      | 2       |

  # Guards against a lapsed entry being taken for an end where no other server shows that the path is sound.
  Scenario: Requests that were lost in cuts are served after them though the entry of the only server lapsed
    Given 3 crash gateways before 1 servers of one service without keys
    And a page of scheduler that one caller reads 10 times a second for 20 s
    And the entries of all servers lapse in each cut
    And 4 cuts of all gateways from the servers, one each 4 s, that refuse connections for 1.5 s
    When the requests beside them have ended
    Then no gateway counted a crash
    And the page was served after the last cut

  # Guards against sizes that no drawn run had: one or two servers of all, and 1, 2 or 17 gateways.
  Scenario Outline: Drawn restarts, cuts, outages and other ends before one or two servers: seed <seed>
    When the drawn run <seed> of harmful requests before one or two servers is played
    Then no request reached more than 3 servers later than 3 s after it had ended three
    And at most 0.002 of the tries of other requests were refused for it

    Examples:
      | seed |
      | 2    |
      | 7    |
      | 16   |
      | 24   |
      | 26   |

  # Guards against servers that are back, and crash again, before the list has told of the crash before.
  Scenario: A server that is back before its crash is known does not crash again and again: seeds 34, 38, 47, 52
    Then the drawn runs 34, 38, 47, 52 of harmful requests before one or two servers keep the bound
