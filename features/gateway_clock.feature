Feature: The clock of a gateway counts the time for which its machine was suspended

  Scenario: A leader whose machine was suspended does not act on the proof of before
    Given a gateway process clock, and a proof of leadership that it has just read
    When the gateway clock's machine is suspended for 20 s
    Then the gateway clock shows that the proof is older than a leader's lease
