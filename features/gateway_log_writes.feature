Feature: How a gateway's log lines are handed to their reader

  Scenario: Each write holds whole lines and is small enough to be atomic on a pipe
    Given a gateway line buffer whose reader sees each write by itself
    When 400 gateway lines of 300 bytes and one of 6000 bytes are written
    Then each gateway write holds whole lines
    And no gateway write of several lines is larger than a pipe takes at once
    And the gateway writes hold all lines in order

  Scenario: A line longer than a pipe takes at once comes whole, part by part
    Given a gateway line buffer on a pipe that nobody reads
    When gateway lines of 6000 bytes fill the pipe, and its reader takes 4096 bytes at a time
    Then the gateway pipe gave every long line whole and in order
