Feature: One budget counts the bytes that a gateway process holds
  # Measured before: each body could take 64 MiB, twice while its parts were joined, and each of any
  # number of connections. The smallest machine has 160 MB.

  Scenario: A large answer passes whole when nothing else is in hand, and is held once
    Given a gateway process with 1 servers that send a body of 64 MiB without end, and one that answers
    When 1 callers get whole bodies of 64 MiB
    Then the gateway process grew by at most 76 MB

  Scenario: Large answers that do not fit together pass one after another
    Given a gateway process with 2 servers that send a body of 40 MiB without end, and one that answers
    When 4 callers get whole bodies of 40 MiB
    Then the gateway process grew by at most 76 MB

  Scenario: Answers in chunks wait for room and pass
    Given a gateway process with 2 servers that send 24 MiB in chunks without end, and one that answers
    When 4 callers get whole bodies of 24 MiB
    Then the gateway process grew by at most 76 MB

  Scenario: A request whose body finds no room is refused before it runs, with a time to come back
    Given a gateway
    And gateway server "a" that answers
    And the byte budget is full of answers in hand
    When a gateway caller sends a body of 1 MiB
    Then the gateway caller is told that the request did not run for "no_memory", and when to come back
    And gateway server "a" got no request
    When the answers in hand are sent
    And a gateway caller sends a body of 1 MiB
    Then the gateway caller has the answer of server "a"

  Scenario: A small request is served while large answers fill the budget
    Given a gateway
    And gateway server "a" that answers
    And the byte budget is full of answers in hand
    When a gateway caller sends a body of 0 MiB
    Then the gateway caller has the answer of server "a"

  Scenario: A caller that reads nothing is given up when others wait for its room
    Given a gateway
    And a gateway server "e" that sends a body of 64 MiB without end
    When a gateway caller reads nothing of its answer, and another one asks
    Then the other gateway caller has the whole body of 64 MiB

  Scenario: All bytes go back to the budget, also those of a caller that leaves
    Given a gateway
    And a gateway server "e" that sends a body of 40 MiB without end
    When 3 gateway callers leave in the middle of their answers
    Then the byte budget holds nothing

  Scenario: The oldest answer is never cut for younger ones, and one without a length goes first
    Given a byte budget of 160 MB
    And an answer "old" with a length in the byte budget, which has 10 MiB
    And an answer "new" without a length in the byte budget, which gets what there is
    When answer "old" asks the byte budget for 54 MiB more
    Then the byte budget gave room to "old" and cut "new"

  Scenario: An answer that stalls does not keep the room above the quarter from others
    Given a byte budget of 160 MB
    And an answer "old" with a length in the byte budget, which has 8 MiB
    And an answer "new" with a length in the byte budget, which has 6 MiB
    When the byte budget is asked for 20 MiB by "new", and "old" brings nothing more
    Then the byte budget gave room to "new" and cut none

  Scenario: Settings name the memory of the machine
    Given a byte budget of 80 MB
    Then the byte budget holds at most 36 MiB
    Given a byte budget of 552 MB
    Then the byte budget holds at most 72 MiB
