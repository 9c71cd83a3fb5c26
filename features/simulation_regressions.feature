Feature: Faults that the simulation found stay mended

  The seeds that found them met them by chance; these scenarios bring the same events about.

  Scenario: A lone first voter of a new generation is lost before its first checkpoint
    Given a simulated deployment that serves
    When all controllers are lost and one of them forms the next generation alone
    And it is lost with its machine at once and all controllers are replaced under new names
    Then a controller leads a later generation within 60 s
