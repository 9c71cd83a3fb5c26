Feature: The platform folder sends grants and releases to servers

  Scenario: A grant and a release as the platform's servers read them
    Given a platform folder server that answers 200
    When the platform folder sends a grant with a handover, then a release
    Then the platform folder's orders are done, and the release brings the handover
    And the platform folder server read both under the platform's names, on 2 connections

  Scenario Outline: What became of an order
    Given a platform folder server that <behaviour>
    When the platform folder sends a grant
    Then the platform folder's order ends as <result>

    Examples:
      | behaviour            | result       |
      | answers 200          | DONE         |
      | answers 409          | FENCED       |
      | answers 421          | OTHER_SERVER |
      | answers 400          | REFUSED      |
      | answers 503          | REFUSED      |
      | closes unanswered    | UNANSWERED   |
      | never answers        | UNANSWERED   |
      | does not listen      | REFUSED_CONNECTION |

  Scenario: An answer that names its server says who answers
    Given a platform folder server that answers 421 as i-9
    When the platform folder sends a grant
    Then the platform folder's order ends as OTHER_SERVER
    And the platform folder's order was answered by "i-9"

  Scenario: An order that is given up is broken off
    Given a platform folder server that never answers
    When the platform folder sends a grant
    Then the platform folder server's connection is reset
