Feature: The bound of a gateway's log

  Scenario: A flood of decisions stays within the bound, and what was dropped is told
    Given a gateway log whose reader takes everything
    When in each of 3 seconds ten times the gateway log's bound of answers, refusals and faults comes
    Then the gateway log holds the bound of each type for each second
    And the gateway log tells once a second how many lines of which type were dropped
    And the gateway log holds every line of control

  Scenario: A second without a dropped line is not told of
    Given a gateway log whose reader takes everything
    When in each of 3 seconds as many answers come as the gateway log's bound allows
    Then the gateway log holds them all, and tells of no dropped line

  Scenario: Late and failed answers are kept where the bound of successes is reached
    Given a gateway log whose reader takes everything
    When beyond the gateway log's bound of answers a late one comes, and one of status 500
    Then the gateway log holds the late answer and the one of status 500

  Scenario: Lines of control take the room of lines on requests in a full buffer
    Given a gateway line buffer on a pipe that nobody reads
    When the gateway line buffer is full, then 500 lines of control come
    Then the gateway line buffer holds no more bytes than its limit
    When the gateway pipe is read to its end
    Then the gateway pipe gave every line of control whole, and counts of the others that are missing

  Scenario: What was dropped right before the end is told
    Given a gateway log whose reader takes everything
    When ten times the gateway log's bound of answers comes and the gateway log is finished
    Then the gateway log's last line tells what was dropped

  Scenario: The operators' page lists each type of line with its bound
    Then the operators' page lists each gateway log type of the code under its bound

  Scenario: A line tells how long its request waited here
    Given a gateway whose lines are kept
    And gateway server "s1" that holds
    When 7 gateway requests come, its server has room for 6, and one answer comes 2 s later
    Then one gateway line of a request that was answered tells of a wait of at least 2 s

  Scenario: The loss of a store that never answered is told in numbers that JSON has
    Given a gateway whose lines are kept
    When the gateway's store fails before its first answer
    Then the gateway line on its loss is JSON
