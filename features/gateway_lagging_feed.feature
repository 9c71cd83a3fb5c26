Feature: A feed that is far behind catches up

  Scenario: A large backlog arrives though peers are ahead all the while
    Given a gateway feed of configurations that is 7 versions behind, each a step of transfer
    When the gateway's lag watch asks anew after each 3 steps, 10 times
    Then the gateway feed of configurations has the newest version

  Scenario: An answer that is lost is made up for by a whole reading
    Given a gateway feed of configurations that waits for an answer
    When the gateway feed is doubted 3 times
    Then the doubted gateway feed has asked for 1 whole reading beside the first
    When the whole reading of the doubted gateway feed comes with version 12
    Then the doubted gateway feed has taken the versions 12

  Scenario: A transfer that is under way is not thrown away when it is doubted
    Given a gateway feed of configurations that waits for an answer
    When the gateway feed is doubted 3 times
    And the first answer of the doubted gateway feed comes with version 11
    Then the doubted gateway feed has taken the versions 11

  Scenario: A whole reading that the feed has overtaken changes nothing
    Given a gateway feed of configurations that waits for an answer
    When the gateway feed is doubted 1 times
    And the first answer of the doubted gateway feed comes with version 12
    And the whole reading of the doubted gateway feed comes with version 11
    Then the doubted gateway feed has taken the versions 12

  Scenario: Rows that come one by one cost few calls, and a lost answer no more time
    Given a paced gateway feed of 0.2 s that waits for 2 s, with a new row each 0.01 s
    When 1 s of the paced gateway feed pass
    Then the paced gateway feed has asked at most 6 times and has every row but the last 0.2 s
    And each call of the paced gateway feed ended its wait at most 2 s after the rows before it

  Scenario: A doubt in the pause of a paced feed is not forgotten
    Given a paced gateway feed of 0.2 s that waits for 2 s, with a new row each 0.01 s
    When the paced gateway feed is doubted in its pause
    Then the paced gateway feed has read whole before its next call

  Scenario: A whole reading that is refused is asked for again
    Given a gateway feed of configurations that waits for an answer
    When the gateway feed is doubted 1 times
    And the store refuses the whole reading of the doubted gateway feed
    And the whole reading of the doubted gateway feed comes with version 12
    Then the doubted gateway feed has taken the versions 12

  Scenario: A store that goes on answering in an earlier era is asked at a pace
    Given a gateway feed of configurations whose store answers in an earlier era
    When 4 s pass for the gateway feed
    Then the store of the gateway feed was asked at most 20 times
