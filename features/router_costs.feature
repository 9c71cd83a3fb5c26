Feature: What a request costs a router
  The cheap ways of a router do what the plain ones did, and the lab tells where time goes.

  Scenario: Remembered choices of dispatchers are those made anew
    When costs: 400 choices are made while routers join, leave and are suspected
    Then costs: each remembered choice is the one made anew

  Scenario Outline: Messages of each request are made only where they are written
    Given costs: a process that writes messages from level <level> on
    When costs: a request is answered
    Then costs: <count> messages were made for it

    Examples:
      | level | count |
      | INFO  | 0     |
      | DEBUG | 1     |

  Scenario: A profile charges built-in functions to their callers and leaves waiting out
    Given costs: a profile of 10 requests with 300 us of ours, 200 us of tornado and 9 s of waiting
    And costs: a built-in function that ours calls for 100 us and tornado for 400 us
    Then costs: a request has 40 us of "ours: request path"
    And costs: a request has 60 us of "tornado: web framework"
    And costs: a request has 100 us in all

  Scenario: A counted load sends exactly as many requests as it was told
    When costs: 25 requests are sent by 4 callers
    Then costs: the target got 25 different requests, 4 at a time at most

  Scenario: Two versions are compared round by round
    When costs: this version took 90, 80 and 300 us and the other 100, 100 and 200 us
    Then costs: the comparison says "this / other = 0.900 (rounds 0.800 to 1.500)"
