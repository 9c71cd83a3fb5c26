Feature: Fair dispatch to a back end with exact slots
  One dispatcher for each back end shares its slots among the groups. All times are virtual.

  Scenario: router dispatch: shares follow the weights while all groups want more
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When groups "gold" of weight 3 and "iron" of weight 1 each keep 20 requests waiting for 20 s
    Then the dispatcher served "gold" between 2.9 and 3.1 times as often as "iron"
    And the server had 2 requests in flight at most

  Scenario: router dispatch: shares are of slot time and not of requests
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When groups "slow" with requests of 200 ms and "fast" with requests of 50 ms compete for 20 s
    Then the dispatcher gave "slow" between 0.9 and 1.1 times the slot time of "fast"

  Scenario: router dispatch: a flood of one group does not slow another
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When "calm" sends 12 requests a second for 20 s while "flood" sends 400
    Then all requests of "calm" were answered
    And no request of "calm" took longer than 0.16 s
    And at least 500 requests of "flood" were answered

  Scenario: router dispatch: an unused share is lent and taken back at once
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When "busy" keeps 20 requests waiting for 5 s and "rare" then sends one
    Then the dispatcher served at least 195 requests of "busy"
    And the request of "rare" took at most 0.1 s

  Scenario: router dispatch: an idle group saves up no credit
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When "busy" keeps 20 requests waiting for 10 s and "late" does so from 5 s on
    Then the dispatcher served "busy" between 0.9 and 1.1 times as often as "late" after 5 s

  Scenario: router dispatch: a cancellation at the moment a slot is given does not lose the slot
    Given a router dispatcher for a warm server with 1 slots and requests of 50 ms
    When the next in the queue is cancelled in the same turn of the loop in which it gets the slot
    Then the cancelled request was never sent and one after it is answered

  Scenario Outline: router dispatch: slots are exact whatever befalls the requests
    Given a router dispatcher for a warm server with <slots> slots and requests of 50 ms
    When 400 requests arrive at random, of which some are lost, shed, refused or cancelled, with seed <seed>
    Then the server had <slots> requests in flight at most
    And the dispatcher is idle and every request has ended

    Examples:
      | slots | seed |
      | 1     | 1    |
      | 2     | 2    |
      | 2     | 3    |
      | 4     | 4    |

  Scenario: router dispatch: a full queue sheds at once and says when to come back
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When 40 requests of one group arrive at once while 20 may wait
    Then 18 requests were shed at once as "queue_full"
    And their times to come back lie between 0.5 and 0.9 s and differ
    And 22 requests were answered

  Scenario: router dispatch: a wait past the deadline is refused at once
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When 40 requests arrive at once that may take 0.3 s
    Then at least 25 requests were shed at once as "wait_too_long"
    And no request ended more than 0.3 s after it came

  Scenario: router dispatch: a wait over the allowed delay is refused at once
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When 40 requests arrive at once that may wait 0.2 s
    Then at least 25 requests were shed at once as "wait_too_long"

  Scenario: router dispatch: a server that stops answering is noticed by those who come later
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When the server stops answering and requests that may take 1 s come in for 0.9 s
    Then the last request was refused at once

  Scenario: router dispatch: a cold server gets one request at a time at first
    Given a router dispatcher for a cold server with 4 slots and requests of 50 ms
    When one group keeps 20 requests waiting for 4 s
    Then the concurrency in the seconds 0.0, 1.5 and 3.5 was 1, 2 and 4

  Scenario: router dispatch: a request that the server shed is sent again after a pause
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When the server sheds a non-repeatable request once
    Then it was sent twice, 0.2 s apart, and answered

  Scenario: router dispatch: a server that goes on shedding ends in a refusal
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When the server sheds a non-repeatable request 5 times
    Then the request ends as "server_shedding", to come back after at least 0.2 s

  Scenario: router dispatch: cancellation frees the queue and reaches the server
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When one of 2 requests in flight and one of 2 waiting requests are cancelled
    Then the server saw the cancellation of the one and never got the other
    And the other two requests were answered

  Scenario: router dispatch: the same non-repeatable request is not sent twice
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When a non-repeatable request comes twice under one id
    Then it was sent once and the second one ended as "already_sent" with outcome "unknown"

  Scenario: router dispatch: nothing is sent once the view has expired
    Given a router dispatcher for a warm server with 2 slots and requests of 50 ms
    When the view expires while a request waits
    Then the waiting request ends as "view_expired" and was never sent
