Feature: Servers that fail fast get few requests
  What operators saw: one of six servers answered with bytes that are no HTTP response, at once. As
  the choice goes by the expected time, it got up to half of all requests, and a quarter to a half
  of these were served only by a second try.

  Cause: outcomes of requests were counted nowhere. A server that fails at once has no request in
  flight, so it always seemed to be the one that would answer soonest.

  Scenario Outline: A server that <fault> gets less than a tenth of all requests
    Given 3 outlier gateways before 6 servers, and 18 callers without a pause
    And from 2 s to 8 s 1 of these servers <fault>
    When the outlier callers have worked for 14 s
    Then each faulty server got less than 0.1 of all requests from 1 s after it began to fail
    And the faulty servers together got their full share again from 2 s after their recovery
    And at least 0.97 of all outlier requests were served

    Examples: Each way of failing that reaches a gateway as a different outcome
      | fault                          |
      | breaks the connection off      |
      | answers 500                    |
      | answers without its signature  |
      | never answers                  |

  Scenario: Outcomes are shared by gateways that see few requests each
    Given 12 outlier gateways before 6 servers, and 18 callers without a pause
    And from 2 s to 8 s 1 of these servers answers without its signature
    When the outlier callers have worked for 14 s
    Then each faulty server got less than 0.1 of all requests from 1 s after it began to fail
    And the faulty servers together got their full share again from 2 s after their recovery

  Scenario: Brokers eject for a large group, and try with requests that may be repeated
    Given 24 outlier gateways before 18 servers, and 72 callers without a pause
    And from 2 s to 8 s 1 of these servers breaks the connection off
    When the outlier callers have worked for 14 s
    Then each faulty server got less than 0.05 of all requests from 1 s after it began to fail
    And the faulty servers together got their full share again from 2 s after their recovery
    And at least 0.99 of all outlier requests were served

  Scenario: Two servers that flap in turn do not take away the capacity of the others
    Given 3 outlier gateways before 6 servers, and 12 callers without a pause
    And from 2 s to 12 s in turn 2 of these servers for 1 s each breaks the connection off
    When the outlier callers have worked for 14 s
    Then no server but the faulty ones was ejected
    And at least 0.97 of all outlier requests were served

  Scenario: Two servers that flap in turn with invalid answers are ejected each time
    Given 3 outlier gateways before 6 servers, and 12 callers without a pause
    And from 2 s to 12 s in turn 2 of these servers for 1 s each answers without its signature
    When the outlier callers have worked for 14 s
    Then no server but the faulty ones was ejected
    And the flapping servers got less than 0.1 of all requests while they failed

  Scenario: A service that fails as a whole is left alone, and works again at once
    Given 3 outlier gateways before 6 servers, and 18 callers without a pause
    And from 2 s to 5 s 6 of these servers answers 500
    When the outlier callers have worked for 9 s
    Then every server got requests in each second
    And the faulty servers together got their full share again from 2 s after their recovery

  Scenario: Honest errors change nothing
    Given 3 outlier gateways before 6 servers, and 18 callers without a pause
    And each of these servers answers 0.004 of its requests with its own 500
    When the outlier callers have worked for 30 s
    Then no server was ejected
    And no report told of a fault

  Scenario: A gateway without a path to servers blames none
    Given 3 outlier gateways before 6 servers, and 18 callers without a pause
    And from 2 s to 6 s one outlier gateway has lost its path to servers
    When the outlier callers have worked for 9 s
    Then no server was ejected

  Scenario: Full servers that reset connections are not ejected
    Given 3 outlier gateways before 6 servers, and 60 callers without a pause
    And these servers reset what comes beyond their slots
    When the outlier callers have worked for 10 s
    Then full servers reset connections, and no server was ejected

  Scenario: A request that fails at every server ejects none
    Given 3 outlier gateways before 6 servers, and 18 callers without a pause
    And one caller sends a request 20 times a second that each server answers with 500
    When the outlier callers have worked for 8 s
    Then no server was ejected

  Scenario: Requests that may not be repeated do not go to an ejected server
    Given 3 outlier gateways before 6 servers, and 18 callers without a pause
    And half of the outlier callers send requests that may not be repeated
    And from 2 s to 8 s 1 of these servers breaks the connection off
    When the outlier callers have worked for 10 s
    Then no request that may not be repeated reached a faulty server from 1 s after it began to fail
    And at least 0.97 of all outlier requests were served

  Scenario: Requests for keys of an owner that serves none are refused at once until it does
    Given 3 outlier gateways before 6 servers with keys, and 18 callers without a pause
    And from 2 s to 8 s 1 of these servers breaks the connection off
    When the outlier callers have worked for 14 s
    Then each faulty server got less than 0.1 of all requests from 1 s after it began to fail
    And requests for its keys were refused with a time to come back, in less than 0.01 s
    And all outlier requests were served from 2 s after the recovery
