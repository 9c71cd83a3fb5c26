Feature: Sizes, slopes and tables of the scale run

  Scenario Outline: A third of the members are routers
    Then scale: <members> members are <routers> routers and <servers> back ends

    Examples:
      | members | routers | servers |
      | 2       | 1       | 1       |
      | 50      | 17      | 33      |
      | 200     | 67      | 133     |
      | 3200    | 1067    | 2133    |

  Scenario: The trees of a scale run are accepted and cut every service as planned
    Then scale: the tree of 200 members asks for 16 ranges for each of 133 back ends

  Scenario: A slope is found and its worst error is told
    Then scale: the points 1:5 2:7 3:9 give 2 a unit and 3 at zero, off by 0
    And scale: the points 1:5 2:10 3:9 give a worst error above 0
    And scale: points of one size give no slope

  Scenario: A point that ended early is reported with its reason and without false figures
    Given scale: a result that ended early
    Then scale: the report names the reason and shows no figure for what was not measured

  Scenario: A point whose leader does not keep up is left out of the slopes
    Given scale: results of 50 and 200 members at 2.4 renewals and of 800 members at 1.7
    Then scale: the slope of the leader's cores is that of the first two alone
    And scale: the report tells that the leader keeps up twice and not at the third

  Scenario: The usage of a process is read from the kernel
    Then scale: this process has used processor time and holds memory
