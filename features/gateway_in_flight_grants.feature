Feature: A grant that is in flight when its leader is lost may be taken late, and no other server holds its keys then

  # The grant was sent after the last beat, so that no beat told of it; holds alone were waited for.
  Scenario: A grant in flight when its leader is killed, which is soon known to act no more
    When a leader whose grant is in flight is killed and starts again soon
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

  # A lease and the longest hold are waited for, which is too short where that hold is shorter than a late order's delay.
  Scenario: A grant in flight when its leader is killed, of which nothing is heard again
    When a leader whose grant is in flight is killed and stays away
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

  # The next process of the leader's node takes over at once, and remembers nothing of what was sent.
  Scenario: A grant in flight when its leader is killed and its own next process leads
    When a leader whose grant is in flight is killed and succeeded by its own next process
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

  # A leader that gave up its row counts as stopped at once, while its last orders are in flight.
  Scenario: A grant in flight when its leader resigns
    When a leader whose grant is in flight resigns
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

  # What one peer was told of the grant is lost with that peer.
  Scenario: A grant in flight when its leader is killed together with a peer
    When a leader whose grant is in flight is killed together with a peer that heard it
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

  # Whoever knows nothing of the grant may not take that for the knowledge that there is none.
  Scenario: A grant in flight when its leader is killed together with all peers but one
    When a leader whose grant is in flight is killed together with all peers that heard it but one
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

  # Datagrams that tell of the grant, or of those who heard of it, are lost.
  Scenario Outline: A grant in flight when its leader is lost while datagrams are lost: it <loss>
    When a leader whose grant is in flight <loss> while half of the datagrams are lost
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

    Examples:
      | loss      |
      | is killed |
      | resigns   |

  # What a successor learnt of the grant is lost with it before it could tell it.
  Scenario Outline: A grant in flight when its leader is lost, and the next leader soon after: each <loss>
    When a leader whose grant is in flight <loss> and its successor soon after it
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

    Examples:
      | loss      |
      | is killed |
      | resigns   |

  # The grant is for the longest hold, and late as well: the bound is the sum of both.
  Scenario: A long grant in flight when its leader is killed, which is soon known to act no more
    When a leader whose grant is in flight is killed after trouble of the store and starts again soon
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight

  # As above, and the lease of a leader that may still act is added.
  Scenario: A long grant in flight when its leader is killed, of which nothing is heard again
    When a leader whose grant is in flight is killed after trouble of the store and stays away
    Then the grant was taken late under a successor that did not reach its server
    And no two servers held one key in any of the runs with a grant in flight
