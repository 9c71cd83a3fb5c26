Feature: Hollow members of the scale run speak the real protocols

  Scenario: A hollow back end takes a lease through the product's own client
    Given scale: a hollow back end
    When scale: the product's client reads its status and renews its lease with one range
    Then scale: the answer shows the granted version and the traffic is counted

  Scenario: A killed hollow back end answers nothing any more
    Given scale: a hollow back end
    When scale: the product's client reads its status and renews its lease with one range
    And scale: the back end is killed
    Then scale: the product's client gets an error from it

  Scenario: Hollow routers follow the views of a server of the internal protocol
    Given scale: a server that publishes settings version 1 and then version 3
    When scale: 3 hollow routers follow it until all know version 3
    Then scale: every version up to 3 is a milestone of 3 routers
    And scale: the routers decoded a whole view each

  Scenario: A view in which a server owns nothing any more is a milestone
    Given scale: a server that publishes that "server-00001" takes over from "server-00000"
    When scale: 2 hollow routers follow it until all know the new owner
    Then scale: the replacement of "server-00000" is a milestone of 2 routers
    And scale: the replacement of "server-00001" is no milestone
