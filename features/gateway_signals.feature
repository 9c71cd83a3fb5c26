Feature: Signals to a gateway's program at its start and its end

  Scenario: A SIGHUP that comes while the program starts is carried out once it runs
    Given a gateway program that is reading its settings file
    When the settings file changes and a SIGHUP comes to the gateway program
    Then the gateway program becomes ready
    And the gateway program took on the changed settings

  Scenario: SIGHUPs until the last moment of a stop do not end the program early
    Given a gateway program that is ready
    When a SIGTERM comes to the gateway program and SIGHUPs until its end
    Then the gateway program ended with exit code 0 and wrote that it has stopped

  Scenario: A stopped program ends without taking its modules apart first
    Given a gateway program that is ready, whose Python tells what it does
    When a SIGTERM comes to the gateway program and it ends
    Then the gateway program wrote that it has stopped, and nothing of Python's own clean-up
