Feature: An outage of the platform that begins in the middle of something

  Scenario: A handover that an outage meets waits for its end, and nobody serves the range meanwhile
    Given a simulated deployment that serves
    When the platform goes down for 3 s right after a handover was committed
    Then every call on the moving range was refused unrun during the outage, for "wrong_owner"
    And every call on the other ranges was completed during the outage
    And the next owner serves the range within 2 s after the outage
    And no moment of the run had two owners of a key
