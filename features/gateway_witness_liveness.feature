Feature: Grants go on while witnesses are lost or do not take part

  # The proof stays young, so that nothing is listed beforehand.
  Scenario: Reads without writes and a lost witness
    Then gateway witnesses: renewals go on while the store takes no writes and a witness is lost

  # A peer of an earlier release, or behind a link that works one way only.
  Scenario: A peer that takes no part in the replication delays no grant
    Then gateway witnesses: a peer that never acknowledges delays no grant

  # All peers are of an earlier release.
  Scenario: No peer takes part
    Then gateway witnesses: peers that never acknowledge stop no renewals

  # It would stop grants at every second check while the store is out.
  Scenario: An ended witness of a row without an answer
    Then gateway witnesses: an ended witness of a row that may be in force is needed no more
