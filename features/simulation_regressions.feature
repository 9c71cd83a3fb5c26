Feature: Faults that the simulation found stay mended

  The seeds that found them met them by chance; these scenarios bring the same events about.

  Scenario: All controllers are lost, then the one that led on, and all are replaced
    Given a simulated deployment that serves
    When all controllers are lost and one of two that start again leads
    And it is lost with its machine at once and all controllers are replaced under new names
    Then a controller leads a later epoch within 60 s
    And it holds every range as it was before the loss, under the same tokens

  Scenario: A leader that was frozen for longer than its lease acts no more
    Given a simulated deployment that serves
    When the leading controller is frozen until another one leads, and 1 s more
    Then no look finds it leading under its old epoch after its return
    And no look finds two controllers leading

  Scenario Outline: A server that left one renewal unanswered keeps its lease once it answers again
    Given a simulated deployment that serves
    When one of its servers is frozen for 0.6 s from <offset> s after a renewal on
    Then exactly one renewal of the frozen server went without an answer
    And no look within 2 s of its return finds the server without its lease

    Examples:
      | offset |
      | 0.25   |
      | 0.3    |
      | 0.35   |
