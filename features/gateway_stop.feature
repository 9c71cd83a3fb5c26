Feature: A planned stop of a gateway

  Scenario Outline: A grace of <grace> s leaves requests under way their part of it
    Given a gateway process with a grace of <grace> s has a request at its server
    When the gateway process is told to stop and its server answers once no connection is taken
    Then the gateway process answered the request whole and then ended

    Examples:
      | grace |
      | 3     |
      | 6     |

  # Guards against connections that are closed without a response where a server never answers.
  Scenario Outline: A request, <kind>, that its server leaves unanswered gets a response before a grace of <grace> s ends
    Given a gateway process with a grace of <grace> s and a server that is silent
    And a request, <kind>, at the server of the gateway process
    When the gateway process is told to stop
    Then the gateway process answered it with 502 in the last sixth of the grace, and in time
    And the gateway process ended before its grace was over

    Examples:
      | kind   | grace |
      | safe   | 4     |
      | unsafe | 4     |
      | unsafe | 6     |
      | unsafe | 3     |

  # Guards against a response at the end to who could have been served elsewhere long before.
  Scenario: A request that waits for a server is refused as soon as it is certain that none takes it
    Given a gateway process with a grace of 4 s and a server that is silent
    And more requests at the gateway process than its server takes
    When the gateway process is told to stop
    Then the waiting requests were refused once the gateway process took no more connections
    And each request at the gateway process got a response

  # Guards against requests that are begun too late to be finished, on connections that stay open.
  Scenario: A request that arrives when no more connections are accepted is refused at once
    Given a gateway process with a grace of 4 s and a server that is silent
    And a request, safe, at the server of the gateway process
    And a connection to the gateway process on which half of a request has arrived
    When the gateway process is told to stop, and the rest arrives 2.5 s later
    Then the gateway process refused it within 0.2 s and its server did not get it

  # Guards against a hop that ends without a reply: the peer could tell its caller nothing true.
  Scenario Outline: A peer whose forwarded request <what> gets a reply before the process ends
    Given a gateway process with a grace of 4 s and a server that is silent
    And a forwarded request at the gateway process that <what>
    When the gateway process is told to stop
    Then the peer of the gateway process got the outcome <outcome>

    Examples:
      | what                       | outcome |
      | its server has             | LOST    |
      | waits for a server         | REFUSED |

  # Guards against taking the caller's leaving for the end of the process, or the other way round.
  Scenario: A caller that leaves while the process stops is not answered, and its server learns of it
    Given a gateway process with a grace of 4 s and a server that is silent
    And a request, safe, at the server of the gateway process
    When the gateway process is told to stop, and the caller leaves 0.5 s later
    Then the server's connection ended within 0.3 s
