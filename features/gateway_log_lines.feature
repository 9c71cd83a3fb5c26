Feature: Log lines of a gateway

  Scenario: A full pipe never blocks, and what was dropped is counted
    Given a gateway line buffer on a pipe that nobody reads
    When more gateway lines are added than the pipe and the buffer take
    Then the gateway line buffer holds no more than its limit
    When the gateway pipe is read to its end
    Then the gateway lines read are whole, in order, and the dropped ones are counted

  Scenario: A pipe without reader drops lines and raises nothing
    Given a gateway line buffer on a pipe that nobody reads
    When the gateway pipe's reader goes away
    Then gateway lines are added and flushed without an error
