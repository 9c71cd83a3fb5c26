Feature: Log lines that tell why a range passed from one server to another

  Scenario: A sound passing names its proof, and nothing speaks against it
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    When "a" answers the release of the gateway owner lines keys
    Then the one gateway owner lines passing from "a" to "b" is by "released"
    And it names the former token 4 and how long the hold of "a" would have lasted
    And the gateway owners' story of key 150 doubts nothing

  Scenario: A sound passing by the end of the hold names whose bound it was
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    When "a" is out of reach until its gateway owner lines hold has ended
    Then the one gateway owner lines passing from "a" to "b" is by "own_bound"
    And it names the epoch of this leader and a bound that has ended
    And the gateway owners' story of key 150 doubts nothing

  Scenario: A passing by one bound while another one still runs is told from others
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And the gateway owner lines keeper goes by a predecessor's bound alone, which has ended
    When "a" is out of reach for the gateway owner lines
    Then the one gateway owner lines passing from "a" to "b" is by "predecessor_bound"
    And the gateway owners' story of key 150 doubts only "bound_runs"

  Scenario: A release that is answered late is no unanswered grant
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    When "a" leaves one gateway owner lines release unanswered and answers the next
    Then the one gateway owner lines passing from "a" to "b" is by "released"
    And it names one release without an answer
    And the gateway owners' story of key 150 doubts nothing

  Scenario: A store whose clock has jumped is told
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And the gateway owner lines readings of the store's clock jump by 20 s
    Then the gateway owner lines tell of a jump by 20 s

  Scenario: A grant that was sent and not answered before the keys passed is told from others
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And "a" has left 1 gateway owner lines grants unanswered
    When "a" has ended, until its late gateway owner lines grant has ended as well
    Then the one gateway owner lines passing from "a" to "b" is by "own_bound"
    And it names 1 grants without an answer
    And the gateway owners' story of key 150 doubts only "order_unanswered"

  Scenario: Keys do not pass by a release while a grant may be taken late
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And "a" has left 3 gateway owner lines grants unanswered
    When "a" answers the release of the gateway owner lines keys
    Then no gateway owner lines passing is told
    And the gateway owner lines tell of 3 unanswered grants to "a" until it answers again

  Scenario: A server that is silent for minutes has few lines
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And "a" has left 300 gateway owner lines grants unanswered
    When "a" answers the release of the gateway owner lines keys
    Then the gateway owner lines tell of 300 unanswered grants to "a" until it answers again

  Scenario Outline: An order of a leader that has <what> is told from others
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And the gateway owner lines leader has <what> and gives orders nevertheless
    When "a" answers the release of the gateway owner lines keys
    Then the gateway owners' story of key 150 doubts only "old_proof"
    And the gateway owner lines name the state "<state>" of the leader, and no age where it has none

    Examples:
      | what                 | state    |
      | lost the leadership  | lost     |
      | resigned             | resigned |
      | an old proof         | leads    |

  Scenario: A grant that is refused after the leadership was lost names no age of a proof
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And the gateway owner lines leader has lost the leadership and gives orders nevertheless
    When "b" refuses the gateway owner lines grant for a higher token
    Then the gateway owner lines tell of a refused grant in the state "lost" without an age

  Scenario Outline: A server that counts as gone by <answer> is told from others
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    When the gateway owner lines take "a" for gone by <answer>
    Then the one gateway owner lines passing from "a" to "b" is by "server_replaced"
    And the gateway owner lines name the sign "<sign>" once
    And the gateway owners' story of key 150 doubts only "<doubt>"

    Examples:
      | answer                  | sign             | doubt          |
      | an answer without an id | order            | unnamed_server |
      | an order with an id     | order            | nothing        |

  # Anybody may write an entry: who is at the address is asked.
  Scenario: A server with a later entry at its address does not count as gone by it
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    When another gateway owner lines entry comes at the address of "a"
    Then the one gateway owner lines passing from "a" to "b" is by "released"
    And the gateway owner lines name no sign
    And the gateway owners' story of key 150 doubts only "nothing"

  Scenario: A release that another server answers names it
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    When server "c" answers the release of the gateway owner lines keys of "a"
    Then the one gateway owner lines passing from "a" to "b" is by "order_misdirected"
    And the gateway owner lines name the sign "order" once

  Scenario: A range that passes although nobody asked is told from others
    Given a gateway owner lines keeper of keys that "a" holds under token 4
    And the gateway owner lines keeper rules out nobody
    When "a" is out of reach for the gateway owner lines
    Then the gateway owners' story of key 150 doubts only "no_proof"

  Scenario: Whoever begins to act as leader says for what it waits
    Given a gateway control group whose store loses the answer of write 0
    And gateway control rows of an earlier leader with servers "a" and "b"
    And the gateway owner lines are kept
    When the gateway control member finds no leader
    Then the gateway control member leads
    And the gateway owner lines tell of one leader that waits for its predecessor of epoch 3
    And a gateway owner lines leader that is replaced names its open orders

  Scenario: A missing log and a key without lines are told as such
    Then the gateway owners' story of a missing log is refused with a remedy
    And the gateway owners' story of key 7 says that no line is on it
