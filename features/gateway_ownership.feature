Feature: Tables of owners and their changes in a gateway

  Scenario: Tables come out of their rows as they went in
    Then gateway owners: for all changes a table read from its row equals the one written

  Scenario: Changes keep every key in one range, and tokens only grow
    Then gateway owners: for all first tables every key has one owner, in shares of the weights
    And gateway owners: for all moves every key stays covered once and tokens only grow
    And gateway owners: for all new tokens nothing but tokens changes, and they grow

  Scenario: One keeper for each range, and pieces of a granted range stay granted
    Then gateway owners: for all changes keepers fit the table, granted where the owner holds it

  Scenario: Until when a server may hold keys
    Then gateway owners: an answered grant ends within the hold of a slow clock
    And gateway owners: a grant without answer may begin late
    And gateway owners: a grant that was not taken binds nobody
    And gateway owners: what earlier leaders granted binds every server until it is tightened

  Scenario: Grants that a server left unanswered and may take late
    Then gateway owners: an answer under a higher token rules an unanswered grant out
    And gateway owners: an answered release ends holds below its token, and rules no late grant out
    And gateway owners: the leader says how long an order under way may hold once it is slow
    And gateway owners: keys stay granted under a token that only rules a late grant out
