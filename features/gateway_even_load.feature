Feature: Even load from late counts

  Virtual time without a network. Many gateways see the same late counts; the earlier rule lets all of
  them choose the same server. Bounds are half of what the earlier rule gives in the same world.

  Scenario Outline: Half as many arrivals beyond slots, and half the waits beside idle slots: <case>
    When even load is played with <gateways> gateways at <load> of the capacity, reports every <period> s, <case>
    Then at most half as many arrivals as by the earlier rule found all slots taken
    And requests waited beside an idle slot in at most half of the earlier moments
    And the 99th percentile of callers is not later than by the earlier rule

    Examples:
      | gateways | load | period | case                         |
      | 8        | 0.6  | 0.05   | with reports one by one      |
      | 8        | 0.6  | 0.05   | with reports at once         |
      | 8        | 0.6  | 0.1    | with reports at once         |
      | 8        | 0.6  | 0.2    | with reports at once         |
      | 8        | 0.6  | 0.4    | with reports at once         |
      | 8        | 0.6  | 0.1    | with a server that comes back |
      | 8        | 0.6  | 0.1    | with a server that is cold   |

  Scenario Outline: Half as many arrivals beyond slots: <gateways> gateways at <load>
    When even load is played with <gateways> gateways at <load> of the capacity, reports every <period> s, <case>
    Then at most half as many arrivals as by the earlier rule found all slots taken
    And the 99th percentile of callers is not later than by the earlier rule

    Examples:
      | gateways | load | period | case                    |
      | 8        | 0.8  | 0.05   | with reports one by one |
      | 8        | 0.8  | 0.1    | with reports at once    |
      | 8        | 0.8  | 0.2    | with reports at once    |
      | 8        | 0.8  | 0.4    | with reports at once    |
      | 8        | 0.6  | 0.1    | each server slow in turn |
      | 16       | 0.6  | 0.1    | with reports at once    |
      | 85       | 0.6  | 0.2    | with a silent broker    |

  Scenario: Half the waits beside idle slots where load, group or slow phases are larger
    When even load is played with 8 gateways at 0.8 of the capacity, reports every 0.05 s, with reports one by one
    And even load is played with 8 gateways at 0.6 of the capacity, reports every 0.1 s, each server slow in turn
    And even load is played with 16 gateways at 0.6 of the capacity, reports every 0.1 s, with reports at once
    And even load is played with 85 gateways at 0.6 of the capacity, reports every 0.2 s, with a silent broker
    Then in all even load plays requests waited beside an idle slot in at most half of the earlier moments

  Scenario: A server that comes back is not filled by all gateways at once
    When even load is played with 8 gateways at 0.6 of the capacity, reports every 0.1 s, with a server that comes back
    Then the even load server that came back had at most half of the earlier requests

  Scenario: Of three gateways fewer arrivals find all slots taken
    When even load is played with 3 gateways at 0.6 of the capacity, reports every 0.1 s, with reports at once
    Then at most half as many arrivals as by the earlier rule found all slots taken
    And requests waited beside an idle slot in at most half of the earlier moments

  Scenario: Exact counts reduce the rule to the least expected time
    Then the even load cost at age 0 is the least expected time, and differs at age 0.1 s

  Scenario: Each slot is assigned once
    Then 7 even load gateways get all slots of 10 servers, with the same rate each

  Scenario: The metric counts what idle slots elsewhere could run, by age
    Then even load counts of 5, 0 and 2 at 2 slots each are 2 uneven requests
    And even load ages 0, 0.05, 0.3 and 0.5 s are labelled "0.05", "0.05", "0.4" and "more"
