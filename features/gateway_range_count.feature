Feature: How many ranges a service's table has

  Scenario Outline: Servers that are replaced one by one leave few ranges where load is <load>
    Given a keyed service whose load is <load>
    When its <servers> servers are replaced one by one <times> times
    Then the table of owners has at most <most> ranges for all keys

    Examples:
      | load        | servers | times | most |
      | none        | 4       | 2     | 24   |
      | none        | 14      | 1     | 84   |
      | on few keys | 14      | 2     | 84   |
      | even        | 14      | 3     | 84   |

  Scenario: The load of a leaving server goes to several others
    Given a keyed service whose load is even
    When its 4 servers are replaced one by one 1 time
    Then the table of owners leaves no server more than half of the load
