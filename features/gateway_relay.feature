Feature: Feeds of the store through one gateway of each zone

  Scenario: An answer of a relay comes out of its bytes as it went in, and never younger
    Then gateway relay: for all answers decoding gives back what was encoded, no younger

  Scenario: What was followed is handed on without a gap, or not at all
    Then gateway relay: for all histories what is known since a version is all that changed

  Scenario: After a whole reading that was kept all rows are handed on, or none
    Then gateway relay: for all histories after a whole reading all rows are known, or it says not

  Scenario: A whole reading that the feed has overtaken leaves no gap in what is handed on
    Then gateway relay: a history that is begun anew as of an older version keeps what it has

  Scenario: Two gateways of a zone in a small group each ask the store
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And 13 other gateways in zone "z2" that are heard
    And gateway "r" in zone "z1" with capacity 2 that is heard
    Then gateway "a" asks the store

  Scenario: Of three gateways of a zone in a small group two ask the third
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And gateway "r" in zone "z1" with capacity 2 that is heard
    And gateway "s" in zone "z1" with capacity 1 that is heard
    Then gateway "a" asks gateway "r"
    When gateway "r" leads
    Then gateway "a" asks the store

  Scenario: Of many gateways those of a zone ask its strongest that does not lead
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And 16 other gateways in zone "z2" that are heard
    And gateway "m" in zone "z1" with capacity 1 that is heard
    And gateway "r" in zone "z1" with capacity 2 that is heard
    And gateway "s" in zone "z1" with capacity 2 that is heard
    And gateway "t" in zone "z1" with capacity 3 that is heard
    When gateway "t" leads
    Then gateway "a" asks gateway "r"
    When gateway "a" leads
    Then gateway "a" asks the store

  Scenario: Where the store leaves a gateway without answers, relays of other zones stand in
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And gateway "b" in zone "z1" with capacity 1 that is heard
    And gateway "r" in zone "z2" with capacity 2 that is heard
    And gateway "s" in zone "z2" with capacity 1 that is heard
    When the store has left gateway "a" without an answer for 0.4 s
    Then gateway "a" asks the store
    When the store has left gateway "a" without an answer for 0.6 s
    Then gateway "a" asks gateway "r"
    When gateway "a" finds that "r" failed
    Then gateway "a" asks gateway "b"
    When gateway "a" finds that "b" failed
    Then gateway "a" asks gateway "s"
    When gateway "a" finds that "s" failed
    Then gateway "a" asks the store
    When the store has left gateway "a" without an answer for 0 s
    And gateway relay time passes the time for which a failed relay is left alone
    Then gateway "a" asks the store

  Scenario: A leader asks nobody else, even where the store leaves it without answers
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And gateway "r" in zone "z2" with capacity 2 that is heard
    When the store has left gateway "a" without an answer for 2 s
    And gateway "a" leads
    Then gateway "a" asks the store

  Scenario: A machine with a slow link is no relay
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And 16 other gateways in zone "z2" that are heard
    And gateway "r" in zone "z1" with capacity 0 that is heard
    Then gateway "a" asks the store
    And gateway relay: a machine offers its cores as relay unless its link is slow

  Scenario: A table of large rows is followed at the store
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    When member "a" follows a table of large rows and a row changes
    Then member "a" has the row from the store itself

  Scenario: A table of large rows leaves no history behind
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    When the gateway relay reads and follows both tables and a row of each changes
    Then the gateway relay keeps the row of the small table only

  Scenario: The strongest gateway of a zone asks the store
    Given a gateway relay choice of "a" in zone "z1" with capacity 2
    And 16 other gateways in zone "z2" that are heard
    And gateway "r" in zone "z1" with capacity 2 that is heard
    Then gateway "a" asks the store

  Scenario: A silent relay is replaced, one that failed is left alone for a while
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And 16 other gateways in zone "z2" that are heard
    And gateway "r" in zone "z1" with capacity 3 that is heard
    When gateway relay time passes the time for which a relay counts as heard
    And gateway "s" in zone "z1" with capacity 2 is heard
    Then gateway "a" asks gateway "s"
    When gateway "a" finds that "s" failed
    Then gateway "a" asks the store
    When gateway relay time passes the time for which a failed relay is left alone
    And gateway "s" in zone "z1" with capacity 2 is heard
    Then gateway "a" asks gateway "s"

  Scenario: Where the strongest gateway of a zone failed the next one is asked, not the store
    Given a gateway relay choice of "a" in zone "z1" with capacity 1
    And 16 other gateways in zone "z2" that are heard
    And gateway "r" in zone "z1" with capacity 3 that is heard
    And gateway "s" in zone "z1" with capacity 2 that is heard
    When gateway "a" finds that "r" failed
    Then gateway "a" asks gateway "s"
    When gateway "a" hears from "s" that it asks another gateway
    Then gateway "a" asks the store
    When gateway relay time passes the moment for which such a gateway is left alone
    And gateway "s" in zone "z1" with capacity 2 is heard
    Then gateway "a" asks gateway "s"

  Scenario: In a large group a weak gateway leaves the store to stronger ones of other zones too
    Given a gateway relay choice of "a" in zone "z1" with capacity 0
    And 16 other gateways in zone "z2" that are heard
    And gateway "r" in zone "z1" with capacity 3 that is heard
    Then gateway "a" asks gateway "r"
    When gateway "a" finds that "r" failed
    Then gateway "a" asks gateway "o0"

  Scenario: Weak gateways of a large group read through the leader while every relay is refused
    Given a gateway relay choice of "a" in zone "z1" with capacity 0
    And 16 other gateways of capacity 0 in zone "z2" that are heard
    And gateway "r" in zone "z1" with capacity 3 that is heard
    And gateway "s" in zone "z2" with capacity 3 that is heard
    When gateway "s" leads
    Then gateway "a" asks gateway "r"
    When gateway "a" finds that "r" failed
    Then gateway "a" asks gateway "s"
    When gateway "a" finds that "s" failed
    Then gateway "a" asks the store
    When gateway relay time passes the time for which a failed relay is left alone
    Then gateway "a" asks the store

  Scenario: A weak gateway of a large group waits for a relay for a moment after its start
    Given a gateway relay choice of "a" in zone "z1" with capacity 0
    Then gateway "a" awaits its first relay
    Given 16 other gateways of capacity 0 in zone "z2" that are heard
    Then gateway "a" awaits its first relay
    Given gateway "r" in zone "z1" with capacity 3 that is heard
    Then gateway "a" awaits no relay

  Scenario Outline: A gateway follows the store from its start on where no relay is to be expected: <why>
    Given a gateway relay choice of "a" in zone "z1" with capacity <capacity>
    And <count> other gateways of capacity 0 in zone "z2" that are heard
    When gateway relay time passes <time_s> s
    Then gateway "a" awaits no relay

    Examples:
      | why                  | capacity | count | time_s |
      | it may be one itself | 1        | 16    | 0      |
      | the group is small   | 0        | 3     | 0      |
      | none came in time    | 0        | 16    | 0.51   |

  Scenario: In a small group nobody reads through the leader
    Given a gateway relay choice of "a" in zone "z1" with capacity 0
    And gateway "s" in zone "z2" with capacity 3 that is heard
    When gateway "s" leads
    And the store has left gateway "a" without an answer for 2 s
    Then gateway "a" asks the store

  Scenario: A change reaches a gateway through its relay without a call to the store
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    When both members follow the store and then a row changes
    Then both members have the row, and the store was asked by the relay only

  Scenario: What comes through a relay is never taken for newer than the relay proved
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    And the relay's newest answer of the store is 0.9 s old
    When member "a" follows from version 10 for 0.05 s
    Then member "a" knows the rows as of at least 0.9 s before it asked

  Scenario: A relay without fresh answers of the store is passed by at once
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    And the relay's newest answer of the store is 2.0 s old
    When member "a" follows from version 10 for 300 s and a row changes
    Then member "a" has the row from the store itself

  Scenario: Those who wait at a relay are told when its answers grow old
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    When member "a" waits at the relay and the store falls silent towards the relay
    Then member "a" has the row from the store itself

  Scenario: A relay that is gone is passed by
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    And the relay has ended
    When member "a" follows from version 10 for 300 s and a row changes
    Then member "a" has the row from the store itself

  Scenario: Where one relay fails the next is asked before the store
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    And the relay has ended
    And member "a" serves, and asks the store itself
    When member "b" follows from version 10 for 300 s and a row changes
    Then member "b" has the row, and the store was asked by member "a" only

  Scenario: A gateway that asks another one serves nobody
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    And the relay asks another gateway
    When member "a" follows from version 10 for 300 s and a row changes
    Then member "a" has the row from the store itself

  Scenario: A member that is further back than its relay asks the store, and the relay next time
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    When member "a" follows from version 9 for 300 s and a row changes
    Then member "a" has the row from the store itself
    And member "a" goes on at the relay

  Scenario: The troubles of a relay count as its members' own
    Given a gateway relay "r" with members "a" and "b" over a store at version 10
    And the relay had trouble with the store 0.8 s ago
    When member "a" follows from version 10 for 0.05 s
    Then member "a" knows of one trouble 0.8 s ago
    When member "a" follows from version 10 for 0.05 s
    Then member "a" knows of one trouble 0.8 s ago

  Scenario: After rows have come the next question waits the longer the more gateways there are
    Then gateway relay: a burst of changes costs a gateway fewer calls the more of them there are

  Scenario: Reports go out at a pace that keeps what one process receives about the same
    Then gateway exchange: with few peers reports go out each 50 ms, each 200 ms without news
    And gateway exchange: with any number of peers a report goes out well within the live time
    And gateway exchange: what one process receives a second grows much less than its peers

  Scenario: A member of a relay hears of a row that was written after the store came back from a copy
    Given a gateway relay "r" with members "a" and "b" over a store at version 40
    When the store changes 13 rows, comes back at version 43 and changes a row
    Then member "a" has the row
