Feature: Load tool
  Its figures are used in reports, so it must not flatter.

  Scenario: Latency counts from when a request was due
    Given a load of 100 requests per second for 10 s
    When it is sent to a target that answers nothing from second 3 to second 5
    Then the median is that of the answers and p99 that of the stall
    And no offered request is missing from the counts

  Scenario: The same seed sends the same requests
    Then two sources of one seed give the same 200 requests and gaps
    And a source of another seed gives other ones

  Scenario: Keys are skewed as told
    Then of 10000 draws over 100 keys with exponent 1 the first key has about its share
    And of 10000 draws over 100 keys with exponent 0 the first key has about its share

  Scenario Outline: An answer to something else does not count as completed
    When a router answers a load's request with <body>
    Then the load counts it as "<outcome>"

    Examples:
      | body                       | outcome      |
      | its own whole answer       | completed    |
      | half of its answer         | wrong_answer |
      | the answer of another key  | wrong_answer |
      | the answer of another id   | wrong_answer |
      | a not-run outcome          | not_run      |
      | an unknown outcome         | unknown      |

  Scenario: The cost of a hop is what the longer path takes more
    Given rounds of the three paths with p50 of 2 3 9, of 5 4 4 and of 7 8 7 ms
    Then the hops cost 1 and 3 ms at p50
    And a request that was not completed shows in the figures of its path
