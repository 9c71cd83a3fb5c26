Feature: Adapters of the platform and its stand-in
  The adapters tell apart what took effect, what did not, and what nobody knows.

  Background:
    Given a platform stand-in

  Scenario: A written row is read back with its version
    When the table adapter writes "first" to "groups/0/settings" expecting version 0
    Then the table adapter's write is done
    And the table adapter reads "first" at version 1 from "groups/0/settings"
    And the table adapter finds no row "groups/1/settings"

  Scenario: A write that expects an older version changes nothing
    Given the table adapter wrote "first" to "row" expecting version 0
    When the table adapter writes "second" to "row" expecting version 0
    Then the table adapter's write fails as "version_conflict"
    And the table adapter reads "first" at version 1 from "row"

  Scenario: One conflicting write keeps the others of its transaction from taking effect
    Given the table adapter wrote "first" to "taken" expecting version 0
    When the table adapter writes both "free" and "taken" expecting version 0
    Then the table adapter's write fails as "version_conflict"
    And the table adapter finds no row "free"
    And the table adapter reads "first" at version 1 from "taken"

  Scenario: A write whose answer is lost may have taken effect
    Given the platform loses every answer
    When the table adapter writes "first" to "row" expecting version 0
    Then the table adapter's write fails as "platform_outcome_unknown"
    When the platform has no faults
    Then the table adapter reads "first" at version 1 from "row"

  Scenario: A read whose answer is lost is only unavailable
    Given the platform loses every answer
    Then the table adapter's read of "row" fails as "platform_unavailable"

  Scenario: A write to a platform that is down takes no effect
    Given the platform is down
    When the table adapter writes "first" to "row" expecting version 0
    Then the table adapter's write fails as "platform_unavailable"
    And the platform error says when to come back
    When the platform has no faults
    Then the table adapter finds no row "row"

  Scenario: A slow write is unknown and may take effect after the adapter gave up
    Given the platform delays requests beyond the adapter's timeout
    When the table adapter writes "first" to "row" expecting version 0
    Then the table adapter's write fails as "platform_outcome_unknown"
    And the row "row" appears later at the platform

  Scenario: The rate limit refuses and says when to come back
    Given the platform admits 1 table request per second
    And the table adapter wrote "first" to "row" expecting version 0
    When the table adapter writes "second" to "row" expecting version 1
    Then the table adapter's write fails as "platform_rate_limited"
    And the platform error says when to come back

  Scenario: A refused connection takes no effect
    Given the platform has stopped
    When the table adapter writes "first" to "row" expecting version 0
    Then the table adapter's write fails as "platform_unavailable"

  Scenario Outline: An answer that is not whole or not the platform's is never taken as a row
    Given a peer in the platform's place that answers <answer>
    Then the table adapter's read of "row" fails as "platform_unavailable"

    Examples:
      | answer               |
      | a body cut short     |
      | text that is no JSON |
      | the row of other key |

  Scenario: Objects are stored whole
    When the object adapter stores 3000000 bytes as "views/0/snapshot"
    Then the object adapter reads the same bytes from "views/0/snapshot"
    And the object adapter finds no object "views/1/snapshot"

  Scenario: An object whose answer is lost may be stored
    Given the platform loses every answer
    Then storing an object fails as "platform_outcome_unknown"

  Scenario: The list of machines shows a leaving mark after its lag
    Given the platform listed server "catalogue-1" and marked it leaving 2 seconds later
    Then the list with a lag of 1 second shows "catalogue-1" 0.5 seconds after as unknown
    And the list with a lag of 1 second shows "catalogue-1" 1.5 seconds after as staying
    And the list with a lag of 1 second shows "catalogue-1" 3.5 seconds after as leaving

  Scenario: The machine adapter reads what the lab entered
    Given the list of machines has no lag
    When the lab enters server "catalogue-1" as leaving
    Then the machine adapter lists "catalogue-1" as leaving
    When the lab removes "catalogue-1"
    Then the machine adapter lists nothing

  Scenario: A fault with a misspelt name is refused
    When the lab sets the platform fault "delay" to 1
    Then the platform stand-in answers 400
