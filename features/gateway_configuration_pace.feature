Feature: Configurations that come in quick succession
  In a large group each gateway follows them at the store, and each answer is a call.

  Scenario Outline: A gateway of a large group reads some of them, the newest soon enough
    Given a gateway of a <size> group whose configurations are to be in force within 2 s
    When 12 configurations come to that gateway, one each 0.35 s
    Then that gateway asked the store for configurations <least> to <most> times meanwhile
    And the newest configuration was in force at that gateway within 0.7 s

    Examples:
      | size  | least | most |
      | large | 4     | 8    |
      | small | 12    | 13   |

  Scenario Outline: Without a change a gateway of a large group seldom asks
    Given a gateway of a <size> group whose configurations are to be in force within 2 s
    When no configuration comes to that gateway for 100 s
    Then that gateway asked the store for configurations <least> to <most> times meanwhile

    Examples:
      | size  | least | most |
      | large | 4     | 5    |
      | small | 10    | 11   |
