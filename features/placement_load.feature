Feature: Ranges are placed by the load that routers measure

  Scenario: Measured load moves ranges that the widths would leave
    Given placement of 16 ranges of equal width on 4 servers of 2 slots
    When the placement load of every range of the first server is 0.4 slots and of others 0.1
    Then placement by width moves nothing
    And placement by load begins with the first server and ends with no server at twice the least

  Scenario: Uneven load far from saturation is not worth the churn
    Given placement of 16 ranges of equal width on 4 servers of 2 slots
    When the placement load of every range of the first server is 0.2 slots and of others 0.12
    Then the placement threshold is 2.0
    When the placement load of every range of the first server is 0.4 slots and of others 0.24
    Then the placement threshold is 1.15

  Scenario: Loads decay and are reported at intervals
    Given a placement meter of loads
    When a placement request holds a slot for 1 s
    Then the placement meter reports 0.5 busy slots
    And the placement meter reports nothing again at once
    And the placement meter reports less than 0.01 busy slots 10 s later
