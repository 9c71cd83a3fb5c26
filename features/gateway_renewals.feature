Feature: A leader of many ranges renews their grants less often, where nothing depends on it

  Scenario Outline: <ranges> ranges cost at most <orders> orders a second, and no hold comes near its end
    When renewals are watched for 12 s with <ranges> ranges at <servers> servers
    Then at most <orders> renewals a second were sent
    And each grant was renewed at intervals of <interval> s
    And no tenth of a second had more than <burst> renewals

    Examples:
      | ranges | servers | orders | interval | burst |
      | 12     | 12      | 24     | 0.5      | 8     |
      | 40     | 30      | 80     | 0.5      | 24    |
      | 80     | 60      | 80     | 1.0      | 24    |
      | 100    | 90      | 67     | 1.5      | 24    |
      | 140    | 120     | 94     | 1.5      | 24    |

  Scenario: In trouble of the store all grants are renewed with long holds as soon as with few ranges
    When the store stops answering a leader of 140 ranges
    Then 1.9 s later all ranges have been granted the longest hold
    And each of them is renewed every 0.5 s while the trouble lasts

  Scenario: A server that left an order unanswered is asked as often as with few ranges
    When one server of a leader of 140 ranges leaves an order unanswered and answers the next
    Then its grants are renewed every 0.5 s for as long as it may apply the order late
    And those of all other servers are renewed at intervals of 1.5 s

  Scenario: A server with open orders of an earlier leader is asked as often as with few ranges
    When a leader of 140 ranges takes over while orders of its predecessor may be open for 4 s
    Then each grant is renewed every 0.5 s in these 4 s and 1.5 s beyond
    And each grant was renewed at intervals of 1.5 s from 8 s on

  Scenario: An order that is lost or late leaves time to renew the grant before its hold ends
    When every third renewal of a leader of 140 ranges is not answered
    Then no hold ended before it was renewed

  Scenario: A leader whose event loop stood still renews what became due meanwhile
    When the event loop of a leader of 140 ranges stands still for 0.7 s
    Then no grant went without a renewal for longer than 2.3 s
