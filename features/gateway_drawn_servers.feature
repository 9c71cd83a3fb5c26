Feature: Servers are drawn where many gateways choose by the same old loads

  Scenario: Gateways of a large group that know the same loads do not all choose one server
    Given 8 gateway servers in the own zone, the first a little faster
    When 32 gateways of a large group choose one each by the same loads
    Then no gateway server was chosen more than 10 times

  Scenario: In a small group, whose loads are new, the best server is chosen
    Given 8 gateway servers in the own zone, the first a little faster
    When 32 gateways of a small group choose one each by the same loads
    Then the first gateway server was chosen 32 times

  Scenario: A fast server and one with more free slots are drawn more often
    Given 2 gateway servers in the own zone, the first three times as fast
    When 400 gateways of a large group choose one each by the same loads
    Then the first gateway server was chosen 270 to 330 times

  Scenario: Servers without a free slot are not drawn, nor other zones before the own one is full
    Given 2 gateway servers in the own zone and 2 in another zone
    And the first gateway server is full by the reports
    When 100 gateways of a large group choose one each by the same loads
    Then only the second gateway server was chosen
    When both gateway servers of the own zone are full by the reports
    And 100 gateways of a large group choose one each by the same loads
    Then only gateway servers of the other zone were chosen

  Scenario: Where no server has a free slot the least expected time decides
    Given 2 gateway servers in the own zone, the first three times as fast
    And all gateway servers are full by the reports
    When 32 gateways of a large group choose one each by the same loads
    Then the first gateway server was chosen 32 times
