Feature: Answers without end are cut at the first byte beyond their bounds
  # Measured before: six callers, one server that answers without end for 10 s: chunks grew the
  # gateway's process by 128 MB, a body that only the close ends by 113 MB. Bytes after an answer on an
  # idle connection stayed there until it was used again. 64 KiB of short header lines held the event
  # loop for 80 ms.

  Scenario Outline: An endless answer is cut and named, and its request never runs again: <way>
    Given a gateway
    And the gateway route is not repeatable
    And a gateway server "e" that sends <way> without end
    When a gateway caller asks while answers have no end
    Then the gateway's answer is that the request may have run
    And the endless server got 1 request, and its connection was ended
    And the endless server sent at most <most> MiB
    And the gateway named 1 response beyond the bound "<bound>" of that server

    Examples:
      | way                    | bound      | most |
      | interim answers        | interim    | 16   |
      | header lines           | head       | 16   |
      | 10000 header lines     | head_lines | 16   |
      | one line               | head       | 16   |
      | a chunk extension      | chunk_line | 16   |
      | tiny chunks            | chunks     | 16   |
      | a body of 10^15 bytes  | length     | 16   |
      | chunks                 | memory     | 80   |
      | a body until the close | memory     | 80   |

  Scenario Outline: A request that may be repeated goes to another server: <way>
    Given a gateway
    And a gateway server "e" that sends <way> without end
    And gateway server "a" that answers
    When gateway callers ask until the endless server got a request
    Then all of these gateway answers are those of server "a"

    Examples:
      | way                    |
      | interim answers        |
      | a chunk extension      |
      | chunks                 |
      | a body until the close |

  Scenario: Bytes on an idle connection end it at once, not only when it is used again
    Given a gateway
    And a gateway server "e" that sends bytes after its answer without end, 0.2 s later
    When a gateway caller asks while answers have no end
    Then the gateway's answer is the endless server's "ok"
    And the endless server got 1 request, and its connection was ended
    And the gateway named 1 response beyond the bound "surplus" of that server

  Scenario: Bytes right after an answer end its connection, and the answer counts
    Given a gateway
    And a gateway server "e" that sends bytes after its answer without end
    When a gateway caller asks while answers have no end
    Then the gateway's answer is the endless server's "ok"
    And the endless server got 1 request, and its connection was ended
    And the gateway named 1 response beyond the bound "surplus" of that server

  Scenario: Many header lines within the bound are an answer as before
    Given a gateway
    And a gateway server "e" that sends 1000 header lines without end
    When a gateway caller asks while answers have no end
    Then the gateway's answer is the endless server's "ok"

  Scenario Outline: What others send without end is cut and named too: <sender>, <way>
    Given an endless <sender> that sends <way>
    When the endless <sender> is asked
    Then the endless <sender> counts as one that gave no answer
    And the endless server got 1 request, and its connection was ended
    And the gateway named 1 response beyond the bound "<bound>" of that server

    Examples:
      | sender             | way                    | bound      |
      | server of an order | interim answers        | interim    |
      | server of an order | 10000 header lines     | head_lines |
      | server of an order | a body of 10^15 bytes  | length     |
      | server of an order | a body until the close | memory     |
      | store              | one line               | head       |
      | store              | a chunk extension      | chunk_line |
      | store              | chunks                 | memory     |
      | store              | a body of 10^15 bytes  | length     |
      | peer               | interim answers        | interim    |
      | peer               | tiny chunks            | chunks     |
      | peer               | chunks                 | memory     |
      | peer               | a body until the close | memory     |

  # Guards against a turn of the event loop that parses what many connections sent at once.
  Scenario: The interim responses of a connection do not hold up the other connections
    Given an endless store that sends interim answers
    When the endless store is asked while turns of the event loop are counted
    Then each of its heads was read in a turn of its own

  Scenario Outline: Endless answers grow the process by 64 MB at most and leave others their turn: <way>
    Given a gateway process with 3 servers that send <way> without end, and one that answers
    When 12 callers ask the endless servers for 3 s, and one asks the other server
    Then the gateway process grew by at most 64 MB
    And no turn of the gateway process took more than 50 ms of processor time
    And each request to the other server was answered

    Examples:
      | way                    |
      | chunks                 |
      | a body until the close |
      | tiny chunks            |
      | header lines           |
      | 10000 header lines     |
      | interim answers        |
      | a body of 10^15 bytes  |
