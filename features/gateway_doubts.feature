Feature: Requests are in doubt until it is known whether a server ended under them

  Scenario: A doubt about a request, whoever sends it, ends when it is lifted
    Given a table of doubts
    When a doubt about "/page" of caller 10.0.0.1 is raised
    Then "/page" of caller 10.0.0.2 is in doubt
    And "/other" of caller 10.0.0.1 is in no doubt
    When that doubt is lifted
    Then "/page" of caller 10.0.0.2 is in no doubt
    And the request was said to be free

  Scenario: Peers hear that a doubt is lifted where they heard of it
    Given a table of doubts
    When a doubt about "/page" of caller 10.0.0.1 is raised
    And that doubt is lifted
    Then peers heard 0 words of doubts
    When a doubt about "/page" of caller 10.0.0.1 is raised
    And peers are told of that doubt
    And that doubt is lifted
    Then peers heard 2 words of doubts

  Scenario: Of two doubts one is lifted
    Given a table of doubts
    When a doubt about "/page" of caller 10.0.0.1 is raised
    And a doubt about "/page" of caller 10.0.0.2 is raised
    And that doubt is lifted
    Then "/page" of caller 10.0.0.3 is in doubt

  Scenario: Word that a doubt is lifted comes before the doubt
    Given a table of doubts
    When peers tell first that a doubt about "/page" is lifted, then that it is raised
    Then "/page" of caller 10.0.0.1 is in no doubt

  Scenario: A doubt that nobody lifts ends by itself
    Given a table of doubts
    When a doubt about "/page" of caller 10.0.0.1 is raised
    And 1.9 s pass for the table of doubts
    Then "/page" of caller 10.0.0.1 is in doubt
    When 0.2 s pass for the table of doubts
    Then "/page" of caller 10.0.0.1 is in no doubt

  Scenario: However many doubts come, a bounded number is kept
    Given a table of doubts
    When 3000 doubts about different requests are raised
    Then at most 1000 doubts are open

  Scenario Outline: All gateways are told, and none sends much
    Given <gateways> gateways that tell each other doubts, and lose <lost> of the datagrams
    When one of them raises a doubt
    Then within 0.05 s at least <told> of the others have it
    And none of them has sent more than <most> datagrams at once

    Examples:
      | gateways | lost | told | most |
      | 8        | 0    | 7    | 7    |
      | 16       | 0.1  | 15   | 15   |
      | 17       | 0    | 16   | 8    |
      | 195      | 0    | 194  | 28   |
      | 195      | 0.1  | 190  | 28   |

  Scenario Outline: Servers that reset connections and live cost peers no word
    Given <gateways> crash gateways before 14 servers of each service
    And 0.3 of the answers of servers are lost
    And a page of scheduler that 30 callers read 40 times a second for 5 s
    When the requests beside them have ended
    Then no gateway told another of a doubt

    Examples:
      | gateways |
      | 8        |
      | 20       |

  Scenario: A notice keeps its contents on its way
    Then a notice of doubts is the same after it was sent
