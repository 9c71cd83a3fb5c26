Feature: The list of servers that a gateway follows

  Scenario: A listed server is usable until it drains
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    Then gateway server entry "a" is usable
    When gateway server entry "a" comes draining at port 1 with version 6
    Then gateway server entry "a" is known and not usable
    When gateway server entry "a" comes at port 1 with version 5
    Then gateway server entry "a" is known and not usable

  Scenario: An entry that vanishes while the store is sound means that the server is leaving
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "a" vanishes
    Then gateway server entry "a" is known and not usable

  Scenario: An entry that vanishes in a trouble of the store says nothing until it has settled
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And the gateway's store has trouble
    And gateway server entry "a" vanishes
    Then gateway server entry "a" is usable
    When nearly the time passes in which the gateway's store settles
    Then gateway server entry "a" is usable
    When the rest of that gateway time passes
    Then gateway server entry "a" is known and not usable

  Scenario: A server whose leaving was missed while this gateway was cut off is left alone within 2.3 s
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And the gateway's store has trouble
    And gateway server entry "a" vanishes
    And 2.3 s of gateway time pass
    Then gateway server entry "a" is known and not usable

  Scenario: A trouble that a relay tells of after an entry vanished does not bring the server back
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "a" vanishes
    And 0.3 s of gateway time pass
    And a relay tells of a trouble of the gateway's store 0.5 s ago
    Then gateway server entry "a" is known and not usable

  Scenario: A trouble that a relay tells of with the answer in which an entry vanishes makes it say nothing
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And a relay tells of a trouble of the gateway's store 0.5 s ago
    And gateway server entry "a" vanishes
    Then gateway server entry "a" is usable

  Scenario: Trouble long before the entry vanished does not count
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And the gateway's store has trouble
    And nearly the time passes in which the gateway's store settles
    And the rest of that gateway time passes
    And gateway server entry "a" vanishes
    Then gateway server entry "a" is known and not usable

  Scenario: Trouble that goes on keeps the server usable
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And the gateway's store has trouble
    And gateway server entry "a" vanishes
    And nearly the time passes in which the gateway's store settles
    And the gateway's store has trouble
    And the rest of that gateway time passes
    Then gateway server entry "a" is usable

  Scenario: A draining server that vanishes in trouble is not usable
    Given a gateway server list
    When gateway server entry "a" comes draining at port 1 with version 5
    And the gateway's store has trouble
    And gateway server entry "a" vanishes
    Then gateway server entry "a" is known and not usable

  Scenario: The address of a server that vanished in trouble belongs to another id
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And the gateway's store has trouble
    And gateway server entry "a" vanishes
    And gateway server entry "b" comes at port 1 with version 7
    Then gateway server entry "a" is known and not usable
    And gateway server entry "b" is usable
    And gateway server entry "b" holds the address of "a"

  Scenario: The newest of several at one address holds it
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "c" comes at port 1 with version 9
    And gateway server entry "b" comes at port 1 with version 7
    And gateway server entry "d" comes at port 2 with version 11
    Then gateway server entry "c" holds the address of "a"
    And nobody else holds the address of gateway server entry "d"

  Scenario: A whole reading drops what it no longer holds, and an entry can come back
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "b" comes at port 2 with version 6
    And a gateway's whole reading holds only "b"
    Then gateway server entry "a" is known and not usable
    And gateway server entry "b" is usable
    When gateway server entry "a" comes at port 1 with version 8
    Then gateway server entry "a" is usable

  Scenario: What vanished long ago is forgotten
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "a" vanishes
    And the gateway remembers no longer
    Then gateway server entry "a" is not known

  Scenario: Trouble of the store, and the age of its word
    Then gateway store health: an answer proves no more than the store's clock allows
    And gateway store health: no answer counts as newer than it is, whenever a clock jumps

  Scenario: Trouble after an entry vanished does not bring the server back
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "a" vanishes
    And nearly the time passes in which the gateway's store settles
    And the gateway's store has trouble
    Then gateway server entry "a" is known and not usable

  Scenario: The entry of a server that has ended says nothing of the one in its place
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "b" comes at port 1 with version 8
    And gateway server entry "a" comes at port 1 with version 9
    Then gateway server "a" is not known to have ended
    And gateway server "b" is not known to have ended
    When gateway server "b" answers at the address of "a"
    Then gateway server "a" is known to have ended
    And gateway server "b" is not known to have ended

  # An entry of another writer may lack any field: servers that state their start all do.
  Scenario Outline: An entry without a start <place> entries that have one names no server until it is renewed
    Given a gateway server list
    When gateway server entries come, one without a start <place> others
    Then gateway server entry "lone" is unknown, the others are usable
    When gateway server entry "lone" comes again without a start, unchanged
    Then gateway server entry "lone" is unknown, the others are usable
    When gateway server entry "lone" comes again without a start, renewed
    Then gateway server entry "lone" is usable

    Examples:
      | place  |
      | before |
      | beside |

  Scenario: An entry without a start under a server's id does not replace the server's own
    Given a gateway server list
    When gateway server entry "a" has a start, then comes without one at another address
    Then gateway server entry "a" is usable where it started
    When gateway server entry "a" vanishes
    Then gateway server entry "a" is known and not usable

  # Servers whose clock was set back start earlier than they did before, and renew their entries.
  Scenario: An entry with an earlier start under a server's id does not replace the server's own
    Given a gateway server list
    When gateway server entry "a" comes with start 9 and sequence 30 at port 1
    And gateway server entry "a" comes with start 5 and sequence 1 at port 2
    Then gateway server entry "a" is usable at port 1
    When gateway server entry "a" comes with start 5 and sequence 2 at port 2
    Then gateway server entry "a" is usable at port 2

  Scenario: A server's own entry replaces one with a later start at once
    Given a gateway server list
    When gateway server entry "a" comes with start 5 and sequence 30 at port 1
    And gateway server entry "a" comes with start 9 and sequence 1 at port 2
    And gateway server entry "a" comes with start 5 and sequence 31 at port 1
    Then gateway server entry "a" is usable at port 1

  Scenario: An answer from an address that another program wrote does not end a server
    Given a gateway server list
    When gateway server entry "a" comes with start 5 and sequence 30 at port 1
    And gateway server entry "a" comes with start 9 and sequence 1 at port 2
    And gateway server "b" answers at the address of "a"
    Then gateway server entry "a" is known and not usable
    And gateway server "a" is not known to have ended
    When gateway server entry "a" comes with start 5 and sequence 31 at port 1
    Then gateway server entry "a" is usable at port 1

  Scenario: Where no server states its start each entry counts at once
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And gateway server entry "b" comes at port 2 with version 6
    Then gateway server entry "a" is usable
    And gateway server entry "b" is usable

  Scenario: A feed that stays behind a peer is asked anew, ever less often
    Given a gateway lag watch at version 4
    When a gateway peer says version 4 for 2 s
    Then the gateway feed was asked anew 0 times
    When a gateway peer says version 6 for 0.3 s
    Then the gateway feed was asked anew 0 times
    When a gateway peer says version 6 for 0.7 s
    Then the gateway feed was asked anew 1 times
    When a gateway peer says version 6 for 20 s
    Then the gateway feed was asked anew 7 times
