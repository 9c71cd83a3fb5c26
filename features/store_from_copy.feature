Feature: The store comes back from a copy and has lost what it acknowledged since

  Scenario Outline: Every key keeps one owner and is served again after the store came back from a copy: <beside>
    When control simulation brings the store back from copies, and <beside>
    Then control simulation found nothing in any of the runs

    Examples:
      | beside                                               |
      | nothing else happens                                 |
      | a server crashes in the span that is lost            |

  Scenario: A configuration written after the store came back from a copy is in force at every gateway
    When control simulation writes a configuration soon after the store came back from copies
    Then each gateway of the control simulation had it in force within 2 s

  Scenario: A server whose leaving was in the span that is lost gets no new work
    When control simulation brings the store back from a copy in which a leaving server is ready
    Then no gateway of the control simulation takes that server for ready again
