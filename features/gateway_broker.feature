Feature: Brokers grant slots at servers for all gateways

  Scenario: No server gets more than its slots, and none is idle while requests wait
    Given 40 gateways whose broker grants slots of 4 servers with 3 slots
    When 600 requests come to these gateways within 5 s, each for 0.1 s of work
    Then no server had more than 3 requests at a time
    And all 600 requests got a slot within 0.1 s

  Scenario: Where requests exceed room, the urgent ones of all gateways go first
    Given 40 gateways whose broker grants slots of 1 servers with 3 slots
    When 120 requests come to these gateways within 1 s, each for 0.1 s of work
    And 10 urgent requests come to these gateways within 1 s, each for 0.1 s of work
    Then no server had more than 3 requests at a time
    And all urgent requests got a slot within 0.2 s
    And some of the other requests were refused with a time to come back

  Scenario: A refusal comes at once where the answer would be late
    Given 40 gateways whose broker grants slots of 1 servers with 3 slots
    When 120 requests come to these gateways within 1 s, each for 0.1 s of work
    Then each refusal came within 0.45 s

  Scenario: Lost datagrams cost a moment, not a slot for ever
    Given 40 gateways whose broker grants slots of 4 servers with 3 slots
    And every 10th datagram between gateways is lost
    When 600 requests come to these gateways within 5 s, each for 0.1 s of work
    Then all 600 requests ended
    And the broker holds no reservation 2 s later

  Scenario: The loss of the broker is bridged by each gateway's own knowledge, then by another one
    Given 40 gateways whose broker grants slots of 4 servers with 3 slots
    When the broker of these gateways is lost after 2 s of 600 requests within 5 s
    Then no request waited longer than 0.4 s for a slot or a refusal
    And another broker acts

  Scenario: A broker that stops declines, and what it granted ends in peace
    Given 40 gateways whose broker grants slots of 4 servers with 3 slots
    When the broker of these gateways stops after 2 s of 600 requests within 5 s
    Then no request waited longer than 0.4 s for a slot or a refusal
    And another broker acts

  Scenario: A caller that leaves while its request waits takes no slot
    Given 40 gateways whose broker grants slots of 1 servers with 3 slots
    When the callers of 20 requests leave after 0.05 s
    Then the broker holds no reservation 0.1 s later

  Scenario: The slot of a gateway that is lost is free again when its request must have ended
    Given 40 gateways whose broker grants slots of 1 servers with 3 slots
    When gateways with 3 slots are lost
    Then the broker holds no reservation 2 s later

  Scenario: A server that one gateway cannot reach stays in use, one that two cannot does not
    Given 40 gateways whose broker grants slots of 2 servers with 3 slots
    When 1 of these gateways say that they cannot reach the first server
    Then slots are granted at 2 servers
    When 2 of these gateways say that they cannot reach the first server
    Then slots are granted at 1 servers
    When that broker's servers have rested for 0.7 s
    Then slots are granted at 2 servers

  Scenario: A new broker counts what others granted, by the reports, until that has ended
    Given 40 gateways whose broker grants slots of 1 servers with 3 slots
    And 3 requests are in flight there by the reports
    When a request comes to one of these gateways for 0.1 s of work
    Then it got a slot after 0.25 s at the earliest

  Scenario: Messages survive the way over the network
    Then a slot request, a reply, a refusal and a return come back as they were sent

  Scenario: A server's word on its load is read, and what is none is passed over
    Then a server's word "3,1,8" says 3 running, 1 waiting, 8 slots and pace 1
    And a server's word "2,0,3,300" says 2 running, 0 waiting, 3 slots and pace 3
    And a server's word "2,x,3" says nothing
    And a server's word "2" says nothing
