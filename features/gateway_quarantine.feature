Feature: What gateways remember of requests under which servers ended

  Scenario: Three servers that three gateways saw end, one after the other, are enough
    Given gateway quarantines a, b, c
    When gateway quarantine a sees 1 servers end under a request
    And gateway quarantine a tells b
    And gateway quarantine b sees 1 servers end under a request
    And gateway quarantine b tells c
    Then gateway quarantine c refuses the request: no
    When gateway quarantine c sees 1 servers end under a request
    Then gateway quarantine c refuses the request: yes
    And gateway quarantine c refuses no request of another caller
    And gateway quarantine c refuses no request of another path
    And gateway quarantine c refuses no request of another body
    And gateway quarantine a refuses the request: no

  Scenario: Servers that three gateways saw end in one instant are one end, and two more are enough
    What users saw: a page that one caller reads often is refused to it for ten minutes, while it
    does no harm. It was in hand at three of five servers that ended in one instant for another
    reason, each at another gateway, and each counted. Evidence: in the scenario of bursts of
    gateway_harmful_requests.feature with seed 32 refusals at 8.027, 8.052, 20.027 and 20.05 s, within
    52 ms of the bursts at 8 and 20 s.

    Given gateway quarantines a, b, c
    When gateway quarantine a sees 1 servers end under a request
    And gateway quarantine b sees 1 servers end under a request
    And gateway quarantine c sees 1 servers end under a request
    And gateway quarantine a tells c
    And gateway quarantine b tells c
    Then gateway quarantine c refuses the request: no
    When gateway quarantine c sees 1 servers end under a request
    Then gateway quarantine c refuses the request: no
    When gateway quarantine c sees 1 servers end under a request
    Then gateway quarantine c refuses the request: yes

  Scenario: Word that comes twice counts once
    Given gateway quarantines a, b
    When gateway quarantine a sees 2 servers end under a request
    And gateway quarantine a tells b
    And gateway quarantine a tells b
    And gateway quarantine b tells a
    Then gateway quarantine a refuses the request: no
    And gateway quarantine b refuses the request: no

  Scenario: A run that ends well clears a request everywhere, and what was refused is counted
    Given gateway quarantines a, b
    When gateway quarantine a sees 3 servers end under a request
    And gateway quarantine a tells b
    Then gateway quarantine b refuses the request: yes
    And gateway quarantine b counts 0 refused innocents
    When 0.1 s pass for gateway quarantines
    And gateway quarantine a sees the request served
    And gateway quarantine a tells b
    Then gateway quarantine a refuses the request: no
    And gateway quarantine b refuses the request: no
    And gateway quarantine b counts 1 refused innocents
    When gateway quarantine a sees 2 servers end under a request
    Then gateway quarantine a refuses the request: no

  Scenario: Word of crashes that comes after the run that clears them
    Given gateway quarantines a, b
    When gateway quarantine a sees 3 servers end under a request
    And 0.1 s pass for gateway quarantines
    And gateway quarantine b sees the request served
    And 0.1 s pass for gateway quarantines
    And gateway quarantine a tells b
    Then gateway quarantine b refuses the request: no
    When gateway quarantine b tells a
    Then gateway quarantine a refuses the request: no

  Scenario: A run that ended well before the crashes clears nothing
    Given gateway quarantines a
    When gateway quarantine a sees the request served
    And 0.1 s pass for gateway quarantines
    And gateway quarantine a sees 3 servers end under a request
    Then gateway quarantine a refuses the request: yes

  Scenario: Who comes back when the refusal says is served, who comes earlier waits again
    Given gateway quarantines a
    When gateway quarantine a sees 3 servers end under a request
    And 500 s pass for gateway quarantines
    Then gateway quarantine a refuses the request: yes
    When 590 s pass for gateway quarantines
    Then gateway quarantine a refuses the request: yes
    When 601 s pass for gateway quarantines
    Then gateway quarantine a refuses the request: no

  Scenario: Bounds of memory and messages, also when every request differs
    Given gateway quarantines a
    When gateway quarantine a sees 3 servers end under a request
    And 5000 servers end at gateway quarantine a under requests that all differ
    Then gateway quarantine a remembers 1000 requests in less than 2 MB
    And a report of gateway quarantine a names 16 requests at most, of 64 bytes
    And gateway quarantine a refuses the request: yes

  Scenario: A harmful request that comes with another query each time
    Given gateway quarantines a
    When gateway quarantine a sees servers end under the queries "?q=1, ?q=2, ?q=3"
    Then gateway quarantine a refuses the request with "?q=4": yes
    And gateway quarantine a refuses the request with "?q=1": yes
    And gateway quarantine a refuses no request of another path

  Scenario: One harmful query of a path whose other queries are served
    Given gateway quarantines a
    When gateway quarantine a sees servers end under the queries "?q=1"
    And 0.1 s pass for gateway quarantines
    And gateway quarantine a sees the request with "?q=2" served
    And 0.1 s pass for gateway quarantines
    And gateway quarantine a sees servers end under the queries "?q=1, ?q=1"
    Then gateway quarantine a refuses the request with "?q=1": yes
    And gateway quarantine a refuses the request with "?q=2": no

  Scenario: Gateways agree
    Then gateway quarantines end with the same whatever they hear in which order

  Scenario: A verdict in a row that the store has lost is written again
    Given a gateway quarantine whose verdicts go to rows of the store
    When three servers end under a request of that quarantine
    Then the store holds the verdict in the part of era 0
    When the store comes back from a copy without that row
    Then the store holds the verdict in the part of era 1
