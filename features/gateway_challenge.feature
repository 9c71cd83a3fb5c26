Feature: Who challenges a lost leader first

  Scenario: Of those that hear each other the machine with most capacity goes first, then by name
    Given gateway challengers a with 1, b with 3, c with 1 and d with 0 cores to spare that hear each other
    Then the gateway challengers go in the order b, a, c, d, whatever their jitter

  Scenario: A leader that is heard and sick is not waited for
    Given gateway challengers a with 1, b with 3 and c with 1 cores to spare that hear each other
    When gateway challenger b is the leader that is challenged
    Then the gateway challengers go in the order a, c, whatever their jitter

  Scenario: A peer that is no longer heard is not waited for
    Given gateway challengers a with 1, b with 3 and c with 1 cores to spare that hear each other
    When gateway challenger b falls silent
    Then the gateway challengers go in the order a, c, whatever their jitter

  Scenario: A machine without capacity leaves the lead to others even after its own restart
    Given gateway challengers a with 0, b with 1 and c with 1 cores to spare that hear each other
    Then gateway challenger a waits at least 0.6 s more than the others, and is not first after a restart

  Scenario: Where no machine has capacity to spare none waits for it
    Given gateway challengers a with 0, b with 0 and c with 0 cores to spare that hear each other
    Then the gateway challengers go in the order a, b, c, whatever their jitter
    And gateway challenger a waits no longer than 0.15 s

  Scenario: A store that does not decide challenges gets them ever less often
    Given gateway challengers a with 1, b with 3 and c with 1 cores to spare that hear each other
    When 6 challenges of gateway challenger b get no answer
    Then gateway challenger b waits up to 2 s longer, and as before once the store decides one

  Scenario: A busy store is not asked by all at once
    Given 12 gateway challengers that hear each other, and a store that makes one write a second
    When their gateway leader is lost and the store refuses whoever finds 2 writes waiting
    Then one gateway challenger leads, and the store got at most 8 writes
