Feature: Servers of an evacuated zone get no new work

  Scenario: A zone is emptied and taken back
    Given a gateway that follows the operator's rows, with a server in zone "z1" and one in zone "z2"
    When the operator evacuates zone "z1"
    Then that gateway sends new work to servers of "z2" only
    When the operator takes zone "z1" back
    Then that gateway sends new work to servers of "z1, z2" only

  Scenario: Two zones, one after the other
    Given a gateway that follows the operator's rows, with a server in zone "z1" and one in zone "z2"
    When the operator evacuates zone "z1"
    And the operator takes zone "z1" back
    And the operator evacuates zone "z2"
    Then that gateway sends new work to servers of "z1" only

  Scenario: A gateway that starts in the midst of an evacuation knows it with its first reading
    Given a gateway that follows the operator's rows, with a server in zone "z1" and one in zone "z2"
    When the operator evacuates zone "z1"
    And that gateway starts anew
    Then that gateway sends new work to servers of "z2" only

  Scenario: An evacuation that ended while the store's history was gone has ended
    Given a gateway that follows the operator's rows, with a server in zone "z1" and one in zone "z2"
    When the operator evacuates zone "z1"
    And the operator takes zone "z1" back, and the store forgets its history
    Then that gateway sends new work to servers of "z1, z2" only

  Scenario: An evacuation that a copy of the store lacks stays until the operator has written it again
    Given a gateway that follows the operator's rows, with a server in zone "z1" and one in zone "z2"
    When the operator evacuates zone "z1"
    And the store comes back from a copy that lacks the evacuation of zone "z1"
    Then that gateway sends new work to servers of "z2" only
    When the operator evacuates zone "z1"
    And 6 s pass for that gateway
    Then that gateway sends new work to servers of "z2" only

  Scenario: An evacuation that nobody writes again after the store came back ends
    Given a gateway that follows the operator's rows, with a server in zone "z1" and one in zone "z2"
    When the operator evacuates zone "z1"
    And the store comes back from a copy that lacks the evacuation of zone "z1"
    And 6 s pass for that gateway
    Then that gateway sends new work to servers of "z1, z2" only

  Scenario: Peers tell of an evacuation whose row did not arrive
    Given a gateway that follows the operator's rows, with a server in zone "z1" and one in zone "z2"
    When the operator evacuates zone "z1", and the answer that tells so is lost
    And a peer says for 1 s that it has applied the row
    Then that gateway sends new work to servers of "z2" only

  Scenario: An owner in the zone serves its keys until they have moved, for a short time
    Given a gateway server list
    When gateway server entry "a" comes at port 1 with version 5
    And the gateway learns that the zone of its servers is evacuated
    Then gateway server entry "a" is known and not usable
    And gateway server "a" may serve its own keys
    When 1.1 s of gateway time pass
    Then gateway server "a" may not serve its own keys

  Scenario: A leaving owner in the zone serves nothing
    Given a gateway server list
    When gateway server entry "a" comes draining at port 1 with version 5
    And the gateway learns that the zone of its servers is evacuated
    Then gateway server "a" may not serve its own keys
