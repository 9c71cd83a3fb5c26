Feature: The internal protocol

  Scenario: A peer that fails on a request has not refused it
    Given wire: a peer whose handler fails
    When wire: a request is sent to it
    Then wire: the caller is told "peer_failed"

  Scenario: A refusal is told apart from a failure
    Given wire: a peer whose handler refuses
    When wire: a request is sent to it
    Then wire: the caller is told "refused_by_peer"

  Scenario: A peer that nobody serves never got the request
    Given wire: no peer
    When wire: a request is sent to it
    Then wire: the caller is told "connect_failed"

  Scenario: A reply that does not come leaves the outcome open
    Given wire: a peer whose handler never ends
    When wire: a request is sent to it
    Then wire: the caller is told "call_timed_out"

  Scenario Outline: Bad bytes close their connection and nothing else
    Given wire: a peer whose handler echoes
    When wire: another connection sends <bytes>
    Then wire: that connection is closed
    And wire: requests on the caller's own connection are still answered

    Examples:
      | bytes                    |
      | a length over the bound  |
      | a frame that is no frame |
      | half a frame             |

  Scenario: Replies in any order reach their own callers
    Given wire: a peer whose handler answers later requests first
    When wire: 20 requests are sent at once
    Then wire: each caller got the reply to its own request
