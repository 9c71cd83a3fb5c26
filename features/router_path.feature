Feature: The request path of a router
  Routers run in virtual time with controllers and back ends under the scenario's control. Server
  alpha of zone z1 owns all keys at first; beta of z2 may take over. Routers r1 and r2 stand in z1
  and z2; the dispatcher of alpha is a router of z1.

  Scenario: router path: a router without touch to the controllers refuses at once, then recovers
    When router r1 is cut off from the controllers for 5 s and asked after 1.2 s, 2.1 s and 6.5 s
    Then the outcomes were "completed", "not-run" and "completed"
    And the refusal came at once as "view_expired" with a time to come back

  Scenario: router path: a reply that was long on the way does not lengthen the view lease
    When the controllers answer with a staleness of 1.5 s and then no more
    Then the view was in force after the last answer and is out of force 0.3 s later

  Scenario: router path: the view never goes back
    When the controllers answer an older version, an older generation and older settings
    Then the router keeps owner, version and settings
    And the answers of the older generation do not renew its lease

  Scenario: router path: a delta that does not fit makes the router ask for a snapshot
    When a delta expects another owner than the view has
    Then the router asked for a whole view and has the new owner

  Scenario: router path: a fitting delta is applied in order
    When a delta splits the range, moves one half and changes the settings
    Then the router has both halves and the new settings without asking for a whole view

  Scenario: router path: a silent controller is left for the next one in time
    When the first controller falls silent
    Then the view stays in force and the router polls the other controller

  Scenario: router path: requests that cannot be routed are refused with their reason
    When requests with an unknown service, no key and too large a body come in
    Then they end as "unknown_service" 404, "missing_key" 400 and "body_too_large" 413, not run

  Scenario: router path: a key without an owner is refused at once
    When nobody owns the keys
    Then the request ends at once as "no_owner" 503, not run, with a time to come back

  Scenario Outline: router path: a refusal by a wrong owner is routed anew once the view moves
    When alpha refuses a <method> as wrong owner and the view moves to beta after <delay> s
    Then the outcome is "<outcome>" and beta got the request <times> times
    And the answer came within <limit> s

    Examples:
      | method | delay | outcome   | times | limit |
      | POST   | 0.1   | completed | 1     | 0.25  |
      | GET    | 0.2   | completed | 1     | 0.35  |
      | POST   | 9.0   | not-run   | 0     | 1.1   |

  Scenario Outline: router path: a lost answer
    When the answers of alpha to a <method> of <path> are lost <lost> times
    Then the outcome is "<outcome>" with status <status> and it was sent <times> times

    Examples:
      | method | path                 | lost | outcome   | status | times |
      | GET    | /v1/shop/item        | 1    | completed | 200    | 2     |
      | GET    | /v1/shop/item        | 9    | unknown   | 504    | 3     |
      | POST   | /v1/shop/item        | 1    | unknown   | 504    | 1     |
      | DELETE | /v1/shop/item        | 1    | unknown   | 504    | 1     |
      | POST   | /v1/shop/item/stock  | 1    | completed | 200    | 2     |
      | POST   | /v1/shop/item/stocks | 1    | unknown   | 504    | 1     |

  Scenario: router path: after a lost answer no refusal makes a request "not run"
    When the answer to a GET is lost and then nobody owns the key
    Then the outcome is "unknown" with status 504 and it was sent 1 times

  Scenario: router path: lost answers do not multiply the load
    When the answers to 200 GETs are all lost
    Then at most 230 requests were sent

  Scenario: router path: one dispatcher serves the requests of all routers
    When 40 requests come in at r1 and r2 at once
    Then all completed and alpha had 2 requests in flight at most

  Scenario: router path: a dispatcher that is gone is passed over
    When the machine of router r1 is lost and a POST comes in at r2
    Then the outcome is "completed" and alpha got the request once

  Scenario: router path: a dispatcher that is lost with a request takes its outcome along
    When the machine of router r1 is lost while alpha works on a POST from r2
    Then the POST ended as "unknown" and alpha got it once

  Scenario: router path: a silent dispatcher costs a repeatable request little
    When router r1 is cut off from r2 and a GET and a POST come in at r2
    Then the GET completed within 0.8 s
    And the POST ended as "unknown" at its deadline, sent at most once

  Scenario: router path: nothing is risked on a dispatcher that has been silent
    When router r1 is cut off from r2 and a POST comes in at r2 after 0.6 s
    Then the outcome is "completed" and alpha got the request once
    And the answer came within 0.4 s

  Scenario: router path: a request that was held up on the way is not run after its deadline
    When a POST of 0.5 s is held up between r2 and r1 until its time is over
    Then it ended as "unknown" and alpha never got it

  Scenario: router path: a dispatcher goes by its own clock where the sender knows it
    When a forwarded request has 1 s left, but its deadline on the clock of r1 is over
    Then r1 replies "deadline_passed", not run, and alpha never got it

  Scenario: router path: a deadline in a peer's clock is never late
    Then deadlines in the clock of a peer are never late, whatever the delays and the drift

  Scenario: router path: the caller's cancellation reaches the back end through the dispatcher
    When a caller at r2 goes away while alpha works on its request
    Then alpha saw the cancellation within 0.01 s

  Scenario: router path: a dispatcher without a view in force declines, and another one takes over
    When the view of router r1 expires and a POST comes in at r2
    Then the outcome is "completed" and alpha got the request once

  Scenario: router path: resends under one idempotency key are answered from one run
    When three POSTs come in under one idempotency key and one more after their answer
    Then all four got the same answer and alpha got one request

  Scenario: router path: an unknown outcome is remembered under its idempotency key
    When the answer to a POST with an idempotency key is lost and the POST is resent
    Then both ended as "unknown" and alpha got one request

  Scenario: router path: a request that did not run may be resent under its idempotency key
    When a POST with an idempotency key was not run and is resent
    Then the resend completed and alpha got one request

  Scenario: router path: an idempotency key stands for one request
    When a POST comes in under the idempotency key of another
    Then it ends as "idempotency_key_reused" 422 and alpha got one request

  Scenario: router path: a caller with an idempotency key may go away and come back
    When a caller goes away during its POST with an idempotency key and resends it
    Then the resend completed and alpha got one request

  Scenario: router path: a planned stop cuts nothing
    When router r1 is stopped while requests of its own callers and of r2 are in progress
    Then all of them completed
    And a later request at r1 was refused as "router_stopping", and one at r2 completed

  Scenario: router path: administration passes to a controller
    When an administration call comes in at r1 while its first controller is silent
    Then a change ended as unknown and a read was answered by the other controller
