Feature: Which requests were refused, lost or late, from the gateways' logs

  Scenario: Each loss is counted once, by its cause and in its window
    Given gateway losses log lines with a loss of each cause and a sound answer
    When the gateway losses are told in windows of 2 s
    Then the gateway losses count 1 request of "shop" as each of
      | cause                     |
      | refused, overload         |
      | lost, broken              |
      | caller left               |
      | answered, status 500      |
      | late, after a repeat      |
      | late, waited for a place  |
      | late, at its server       |
    And the gateway losses count 4 requests from second 0 and 3 from second 2
    And the gateway losses tell that 9 lines of "request:answered" are not counted

  Scenario: A log without losses, an unreadable one and a window without length are told as such
    Then the gateway losses of a log with a sound answer only say that no line tells of any
    And the gateway losses of a missing log are refused with a remedy
    And gateway losses in windows of 0 s are refused with a remedy
