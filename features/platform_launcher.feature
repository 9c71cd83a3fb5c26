Feature: The launcher starts processes and always ends them

  Scenario: A planned stop of the platform stand-in ends with exit code 0
    Given a launched platform stand-in
    When the launcher terminates it
    Then its exit code is 0

  Scenario: A killed process reports its signal
    Given a launched platform stand-in
    When the launcher kills it
    Then its exit code is -9

  Scenario: A frozen process goes on after it is thawed
    Given a launched platform stand-in
    When the launcher freezes it
    Then it does not answer
    When the launcher thaws it
    Then it answers

  Scenario: Leaving the launcher ends a process that was never stopped
    Given a launched platform stand-in
    When the launcher's context ends
    Then its exit code is -9

  Scenario: A process that ends at its start is reported with its output
    When the launcher starts a platform stand-in without a port
    Then the launcher reports it as not ready with its output

  Scenario: A killed launcher leaves no process behind
    Given a launcher in a process of its own that has launched a platform stand-in
    When that launcher's process is killed
    Then nothing listens any more where the platform stand-in did
