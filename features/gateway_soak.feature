Feature: Soak of real gateway processes

  Scenario Outline: A checker of the soak sees its rule broken: <rule>
    Given a soak history in which <rule>
    Then the soak checkers find just <finding>

    Examples: broken rules
      | rule                                                    | finding       |
      | a request that was read got no answer                   | answers_come  |
      | a request that ran crossed a close and got no answer    | answers_come  |
      | a request was never answered                            | answers_come  |
      | a request late in a stop is cut while its server works  | answers_come  |
      | a stop cuts a request long before its grace time is up  | answers_come  |
      | an unsafe request ran twice                             | single_runs   |
      | a request that ran was refused                          | refusals_kept |
      | a proper request was denied                             | no_denials    |
      | a route is not found long after its write               | configurations |
      | a route is not found by a process that had served it    | configurations |
      | a route is not found long after the store came back from a copy | configurations |
      | a process ended by itself                               | exits         |
      | a process outlived its grace time                       | exits         |
      | a server got three requests in its rest                 | wishes_kept   |
      | a request reached a server long after it said that it leaves | wishes_kept |
      | a server got 18 requests in 4 s where it takes 2 a second | limits_kept |

    Examples: kept rules
      | rule                                                    | finding       |
      | every request is answered                               | nothing       |
      | a request that did not run crossed a close unread       | nothing       |
      | a kill cut a request                                    | nothing       |
      | the end of a stop cuts a request while its server works | nothing       |
      | a safe request ran twice                                | nothing       |
      | a route is not found right after its write              | nothing       |
      | a route is not found while the store is down            | nothing       |
      | a route is not found soon after the store came back from a copy | nothing |
      | a server got two requests in its rest, and some before and after | nothing |
      | a request reached a server soon after it said that it leaves | nothing |
      | a server got 17 requests in 4 s where it takes 2 a second | nothing |

  Scenario Outline: Where times are not judged a soak history in which <rule> breaks <finding>
    Given a soak history in which <rule>
    And times are not judged in the soak history
    Then the soak checkers find just <finding>

    Examples:
      | rule                                                   | finding        |
      | a process outlived its grace time                      | nothing        |
      | a route is not found long after its write              | nothing        |
      | a process ended by itself                              | exits          |
      | a route is not found by a process that had served it   | configurations |
      | a stop cuts a request long before its grace time is up | answers_come   |

  Scenario: Plans of the soak depend on the seed alone, and hold events of every kind
    Then soak plans of 20 seeds are drawn alike twice and hold every kind of event

  Scenario: Series of silent connections depend on the seed alone, and end when bounds of time count
    Then series of silent connections of 20 seeds are drawn alike twice, and of every rest

  Scenario: Real gateways under overlapping planned work keep every rule
    When a short gateway soak of seed 7 runs
    Then the soak checkers find just nothing
    And every gateway of the soak served requests

  # Guards against requests that a stopping process leaves without a response, as their servers do.
  Scenario: Real gateways that stop answer what their servers leave unanswered
    When a short gateway soak of seed 10 runs in which servers leave requests unanswered
    Then the soak checkers find just nothing
    And every gateway of the soak served requests
