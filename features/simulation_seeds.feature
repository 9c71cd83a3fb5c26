Feature: The real routers and controllers keep their promises under faults

  A fixed set of seeds. `scripts/explore` runs more; docs/design/proof.md says what they show.

  Scenario: Mixed faults, several at once
    When the simulation runs 24 seeds from 1 of the plan "mixed"
    Then the simulation finds nothing
    And at least 25 kinds of faults were injected, 200 in all
    And more than 2000 requests were executed and 24 or more settings changes accepted

  Scenario Outline: Dense faults of one part
    When the simulation runs 8 seeds from 1 of the plan "<plan>"
    Then the simulation finds nothing
    And at least <kinds> kinds of faults were injected, 60 in all

    Examples:
      | plan      | kinds |
      | leases    | 10    |
      | agreement | 12    |
      | settings  | 10    |
      | answers   | 8     |

  Scenario: Planned stops cut no request in flight
    When the simulation runs 8 seeds from 1 of the plan "planned-stops"
    Then the simulation finds nothing
    And at least 3 kinds of faults were injected, 20 in all
    And every request was completed or refused unrun

  Scenario: Keys of a lost server are served again within 3 s at the median
    When the simulation runs 24 seeds from 1 of the plan "single-losses"
    Then the simulation finds nothing
    And the median time until keys were served again is at most 3 s for each of
      | kind                                     |
      | server killed                            |
      | server lost with its machine             |
      | server frozen                            |
      | server cut off                           |
      | server drained                           |
      | server killed while the platform is down |

  Scenario Outline: Seeds that once ended with nothing served
    When the simulation runs 1 seeds from <seed> of the plan "mixed"
    Then the simulation finds nothing

    Examples:
      | seed  |
      | 10419 |
      | 10464 |
      | 10946 |

  Scenario: A server that leaves while nothing can be committed gets no new work either
    When the simulation runs 1 seeds from 1013 of the plan "mixed"
    Then the simulation finds nothing
