Feature: Stand-in back end as a process

  Scenario: A planned stop waits for the grants to go and cuts nothing
    Given a stand-in back end as a process, under a lease
    When it gets SIGTERM while a request runs there
    Then the answer of that request is whole
    And it says that it is draining, and still runs requests
    When its lease is not renewed any more
    Then it ends with exit code 0

  Scenario: A port that is taken ends the process with a failure
    Given a port that is taken
    When a stand-in back end is started on that port
    Then it ends with exit code 1

  Scenario: A back end whose faults name a request ends under it
    Given a stand-in back end as a process, under a lease
    When it is told to end under requests for "/harmful"
    And a request for "/harmful" is sent to it
    Then it ends with exit code 70
    And the answer of that request is lost
