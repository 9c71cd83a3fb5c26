Feature: Rules by which servers are ejected, one at a time
  Each scenario holds one rule of docs/design/outlier-ejection.md, with fakes and a clock that the
  scenario moves.

  Scenario Outline: Faults in a row eject a server, and one fault fewer does not
    Given an outlier detector before 6 servers
    When server 1 has <fewer> outcomes "<verdict>" <gap> s apart
    Then the outlier detector has ejected none
    When server 1 has 1 outcomes "<verdict>" <gap> s apart
    Then the outlier detector has ejected 1

    Examples: A slow detection lets a fast failing server take half of all requests meanwhile
      | verdict | fewer | gap |
      | invalid | 2     | 0   |
      | error   | 3     | 0   |
      | broken  | 4     | 0.2 |

  Scenario: Connections that break within a moment do not eject a server that is full
    Given an outlier detector before 6 servers
    When server 1 has 50 outcomes "broken" 0.005 s apart
    Then the outlier detector has ejected none

  Scenario: Good responses outweigh errors that come now and then
    Given an outlier detector before 6 servers
    When server 1 has 3 outcomes "error" 0 s apart
    And server 1 has 20 outcomes "good" 0.01 s apart
    And server 1 has 3 outcomes "error" 0 s apart
    Then the outlier detector has ejected none

  Scenario: Faults that are long ago do not add up
    Given an outlier detector before 6 servers
    When server 1 has 2 outcomes "invalid" 0 s apart
    And 4 s pass for the outlier detector
    And server 1 has 2 outcomes "invalid" 0 s apart
    Then the outlier detector has ejected none

  Scenario: A caller whose requests alone fail does not eject the server of others
    Given an outlier detector before 6 servers
    When server 1 has 3 outcomes "invalid" of one caller, and 1 good one of another in between
    Then the outlier detector has ejected none

  Scenario: Errors that most servers answer eject none of them by chance
    Given an outlier detector before 6 servers
    When server 1 to 4 have 1 outcomes "error" each
    And server 1 has 3 outcomes "error" 0 s apart
    Then the outlier detector has ejected none
    When server 1 has 3 outcomes "error" 0 s apart
    Then the outlier detector has ejected 1

  Scenario Outline: A stated share of a service is ejected at most
    Given an outlier detector before <servers> servers
    When server 1 to <failing> have 3 outcomes "invalid" each
    Then the outlier detector has ejected <ejected> servers

    Examples: Too many ejections would take the capacity away that a false alarm leaves
      | servers | failing | ejected |
      | 1       | 1       | 0       |
      | 2       | 1       | 1       |
      | 3       | 2       | 1       |
      | 6       | 2       | 2       |
      | 6       | 4       | 2       |
      | 6       | 5       | 0       |

  Scenario: Gateways that see one fault each eject together, and a healthy peer excuses a lost link
    Given an outlier detector before 6 servers
    When 3 peers tell of 1 "invalid" outcome each at server 1
    Then the outlier detector has ejected 1
    When 1 peers tell of 9 "broken" outcome each at server 2
    And 3 peers tell of 1 "good" outcome each at server 2
    And 1 s pass for the outlier detector
    And 1 peers tell of 12 "broken" outcome each at server 2
    Then the outlier detector has ejected 1

  Scenario: A report that tells of good responses alone starts no count, or gateways would keep it up
    Given an outlier detector before 6 servers
    When 3 peers tell of 1 "good" outcome each at server 1
    And server 1 has 5 outcomes "good" 0 s apart
    Then the outlier detector shares nothing

  Scenario: A server that flaps needs more proofs each time, and no more faults than before
    Given an outlier detector before 6 servers
    When server 1 has 3 outcomes "invalid" 0 s apart
    Then server 1 comes back after 3 good trials
    When server 1 has 3 outcomes "invalid" 0 s apart
    Then server 1 comes back after 6 good trials
    When server 1 has 3 outcomes "invalid" 0 s apart
    Then server 1 comes back after 12 good trials
    When server 1 has 3 outcomes "invalid" 0 s apart
    Then server 1 comes back after 12 good trials

  Scenario: A service without repeatable requests gets its server back after a while
    Given an outlier detector before 6 servers
    When server 1 has 3 outcomes "invalid" 0 s apart
    And 11 s pass for the outlier detector
    Then the outlier detector has ejected none

  Scenario Outline: What an attempt says about its server: <what>
    Given an attempt judge before 2 servers of 2 slots
    When an attempt ends with "<what>"
    Then the verdict on the attempt is "<verdict>"

    Examples: A server is blamed for its own failures alone
      | what                                        | verdict |
      | 200 signed                                  | good    |
      | 200 unsigned where none signs               | good    |
      | 200 unsigned where others sign              | invalid |
      | 404                                         | neutral |
      | 500                                         | error   |
      | 503                                         | neutral |
      | 429                                         | neutral |
      | 421                                         | neutral |
      | 500 not run                                 | neutral |
      | 504 at the deadline                         | neutral |
      | 504 long before the deadline                | error   |
      | not sent                                    | neutral |
      | broken                                      | broken  |
      | broken beyond the slots                     | neutral |
      | broken right after an answer                | neutral |
      | broken while no other server answers        | neutral |
      | broken while the path is lost               | neutral |
      | broken under a server that has left         | neutral |
      | broken together with the one before         | neutral |
      | lost for a head without end                 | invalid |
      | silent for 0.1 s                            | neutral |
      | silent for 1 s                              | broken  |
      | 500 after the same request failed elsewhere | neutral |

  Scenario: Evidence passes reports, hubs and releases unchanged, and costs nothing without faults
    Then a report with evidence comes back as it was sent
    And a hub passes the evidence of its members on, the newest of each
    And a release with a fault comes back as it was sent
    And a report without faults has the bytes that it had before
