Feature: What gateways tell each other

  Scenario: A report comes out of its datagram as it went in
    Then gateway exchange: for all reports decoding gives back what was encoded

  Scenario: Reports that a hub hands on come out of its datagram
    Then gateway exchange: forwarded reports come out as they went in, without beats and samples

  Scenario: What is no report is dropped
    Then gateway exchange: a report whose columns differ in length is none
    And gateway exchange: for all bytes decoding gives a report or nothing

  Scenario: Requests in flight are those of the newest reports of peers that are heard
    Then gateway exchange: whatever arrives in whatever order, in-flight counts are the peers' newest

  Scenario: Older reports of the same boot are dropped, a new boot begins anew
    Given a gateway peer table
    When gateway peer "p" of boot "x" reports 4 in flight at "s" under sequence 5
    And gateway peer "p" of boot "x" reports 9 in flight at "s" under sequence 4
    And gateway peer "p" of boot "x" reports 9 in flight at "s" under sequence 5
    Then the gateway peer table holds 4 in flight at "s" from 1 peer
    When gateway peer "p" of boot "y" reports 1 in flight at "s" under sequence 1
    And gateway peer "q" of boot "x" reports 2 in flight at "s" under sequence 1
    Then the gateway peer table holds 3 in flight at "s" from 2 peers

  Scenario: A silent peer no longer counts
    Given a gateway peer table
    When gateway peer "p" of boot "x" reports 4 in flight at "s" under sequence 5
    And gateway peers are silent for as long as they count as live
    And gateway peer "q" of boot "x" reports 2 in flight at "s" under sequence 1
    Then the gateway peer table holds 6 in flight at "s" from 2 peers
    When gateway peers are silent a moment longer
    Then the gateway peer table holds 2 in flight at "s" from 1 peer
    When gateway peer "p" of boot "x" reports 3 in flight at "s" under sequence 6
    Then the gateway peer table holds 5 in flight at "s" from 2 peers

  Scenario: Samples are taken once, and those that nobody takes do not pile up
    Then gateway exchange: samples come out once, the newest of too many
