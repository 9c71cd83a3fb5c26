Feature: The store comes back from a copy and has lost what it acknowledged since

  Scenario Outline: Every key keeps one owner and is served again after the store came back from a copy: <beside>
    When control simulation brings the store back from copies, and <beside>
    Then control simulation found nothing in any of the runs

    Examples:
      | beside                                               |
      | nothing else happens                                 |
      | a server crashes in the span that is lost            |
      | a server leaves in the span that is lost             |
      | a server is replaced at its address in that span     |
      | the leader is killed in the span that is lost        |
      | the leader stops in the span that is lost            |
      | the leader is frozen while the store comes back      |
      | the leader is cut off from the store as it comes back |
      | all gateways are killed in the span that is lost     |
      | all gateways start while the store comes back        |
      | writes of the span that is lost are made late        |
      | orders of the span that is lost are carried out late |
      | it comes back once more soon after                   |

  Scenario: A configuration written after the store came back from a copy is in force at every gateway
    When control simulation writes a configuration soon after the store came back from copies
    Then each gateway of the control simulation had it in force within 2 s

  Scenario: A server whose leaving was in the span that is lost gets no new work
    When control simulation brings the store back from a copy in which a leaving server is ready
    Then no gateway of the control simulation takes that server for ready again

  Scenario Outline: Other faults overlap the returns of the store in seed <seed>
    When control simulation draws seed <seed> with returns of the store from copies
    Then control simulation found nothing in any of the runs

    Examples:
      | seed |
      | 9    |
      | 14   |
      | 27   |
      | 28   |
      | 32   |
      | 440  |

  # The leader that was named never began, so that the bound of earlier grants was never set.
  Scenario Outline: Keys are served again where a process became leader as an era of the store ended: seed <seed>
    When control simulation draws seed <seed> with returns of the store from copies
    Then control simulation found nothing in any of the runs

    Examples:
      | seed   |
      | 700096 |
      | 710037 |

  Scenario: Keys wait for holds of the era before a leader began, not of the one that it led: seed 710083
    When control simulation draws seed 710083 with returns of the store from copies
    Then control simulation found nothing in any of the runs

  # Guards against keys that wait for one lost former owner after the other, each for the longest hold.
  Scenario: Former owners of which nothing is known are waited for together: seed 60008
    When control simulation draws seed 60008 with returns of the store from copies
    Then control simulation found nothing in any of the runs

  Scenario Outline: A quarter of the keys is served in time where nobody followed the era between two returns: seed <seed>
    When control simulation draws seed <seed> with returns of the store from copies
    Then control simulation found nothing in any of the runs

    Examples:
      | seed   |
      | 710013 |
      | 710060 |
      | 730002 |

  # Keys were granted by the tables that came after it; it was in force at no moment.
  Scenario Outline: A table that was made only after the return is not carried into the new era: <beside>
    When control simulation makes a table of the lost span only after the return, and <beside>
    Then control simulation made such a table before the first one of the new era in 5 runs
    And each key is in the new era with its last owner, or waits for that one

    Examples:
      | beside           |
      | a server leaves  |
      | a server crashes |

  # Its newest proof is younger than the lease; who replaced it did not wait for that.
  Scenario: A leader that was replaced shortly before the store came back does not lead the new era by its own table
    When control simulation replaces a leader that is cut from the store, which then comes back
    Then another one led before the return in each of the runs
    And each key is in the new era with its last owner, or waits for that one

  Scenario: The first table of an era that nobody remembers names only servers that did not answer
    When control simulation starts all gateways of 24 servers while the store comes back
    Then the first table of the era names at most 2 former owners of each range
    And the gateways sent at most 400 orders until it was written
