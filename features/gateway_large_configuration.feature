Feature: Large configurations at gateways on slow links
  What users saw: requests for a route that had been added were answered 404, 2.56 and 2.71 s after the
  change was acknowledged, and for ten seconds a third of all requests was late or refused.

  Order of events: the configuration grew from 693 to 2,533 routes; then one change came each 1.73 s. Each
  of 63 gateways read each version whole from the store. 55 of them have links of 5 Mbit/s, which
  requests share. Whoever heard that peers were ahead read the whole table beside its feed, on the same
  link, and gave that reading up after 1 s; the feed brought every version since the last one.

  Cause: what a change costs a gateway grew with the configuration, not with the change, and each gateway
  paid it on its own link.

  Evidence: the slow links were full from the first large version on (450 to 750 KB/s received, 130 before
  the changes), 30 whole readings were given up within 3.5 s,
  gateways on links of 100 Mbit/s had each version 0.1 s after it was sent, the others 4.55 s after its
  acknowledgement in the median; versions 13 and 15 came into force 0.04 s after each other, so neither
  reading them nor the pauses between questions were what took long.

  Scenario: Changes of a large configuration are in force in time at gateways on slow links
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And a configuration of 2533 routes is in force at all those gateways
    When 6 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: Changes in quick succession of a large configuration are in force in time
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And a configuration of 2533 routes is in force at all those gateways
    When 25 changes of that configuration come, one each 0.08 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: Changes of a large configuration are in force in time though the store is slow
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And the store of those gateways answers after 0.24 s
    And a configuration of 2533 routes is in force at all those gateways
    When 6 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: Changes of a large configuration are in force in time though settings are read again
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And those gateways take new settings each 0.1 s
    And a configuration of 2533 routes is in force at all those gateways
    When 6 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: Gateways that learn of each other after their first configuration hand on no gaps
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And those gateways learn of each other 3 s after their start
    And a configuration of 2533 routes is in force at all those gateways
    When 6 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: The relay freezes without a sign just before a change of a large configuration
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And a configuration of 2533 routes is in force at all those gateways
    When the strongest of those gateways freezes
    And 3 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: A zone that loses all strong gateways gets its configurations through other zones
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And 2 gateways on links of 100 Mbit/s in another zone of that group
    And requests take 0.27 MB/s of each of those links
    And a configuration of 2533 routes is in force at all those gateways
    When both strong gateways of the first zone freeze
    And 3 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: A leader on a slow link has changes in time, too
    Given 16 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And the first of those gateways leads
    And a configuration of 2533 routes is in force at all those gateways
    When 6 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario: A small group has changes in quick succession of a large configuration in time
    Given 12 gateways on links of 5 Mbit/s and 2 on links of 100 Mbit/s, in one zone of a large group
    And requests take 0.27 MB/s of each of those links
    And a configuration of 2533 routes is in force at all those gateways
    When 12 changes of that configuration come, one each 0.9 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

  Scenario Outline: Slow links on which packets queue
    Given 16 gateways on links of 5 Mbit/s, where packets queue, and 2 on links of 100 Mbit/s
    And a configuration of 2533 routes is in force at all those gateways
    When requests keep packets waiting for <queued> s on each slow link
    And 4 changes of that configuration come, one each 1.73 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it

    Examples:
      | queued |
      | 0.2    |
      | 0.35   |
      | 0.45   |

  Scenario: An answer of the store with a change is lost at all who ask it
    Given 16 gateways on links of 5 Mbit/s, where packets queue, and 2 on links of 100 Mbit/s
    And a configuration of 2533 routes is in force at all those gateways
    When the store's answers with a change of that configuration are lost for 0.2 s
    Then each of those versions was in force at every gateway within 2.5 s of the store's having it
