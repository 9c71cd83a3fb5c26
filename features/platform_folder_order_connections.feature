Feature: Which connection carries a grant, and which answer on it belongs to it

  Scenario: A server that returns ids is sent its grants over one connection
    Given platform folder orders that are answered: "200 with its id", "409 with its id"
    When the platform folder sends it 2 grants
    Then the platform folder's grants end as "DONE, FENCED", on 1 connections

  Scenario: A server that returns no ids is sent each grant over a connection of its own
    Given platform folder orders that are answered: "200", "409", "200"
    When the platform folder sends it 3 grants
    Then the platform folder's grants end as "DONE, FENCED, DONE", on 3 connections

  Scenario: An answer without an id on a kept connection is no answer
    Given platform folder orders that are answered: "200 with its id", "200", "200 with its id", "200 with its id"
    When the platform folder sends it 4 grants
    Then the platform folder's grants end as "DONE, UNANSWERED, DONE, DONE", on 3 connections

  Scenario: An answer with the id of another order is no answer, on a new connection too
    Given platform folder orders that are answered: "200 with another id", "200 with its id"
    When the platform folder sends it 2 grants
    Then the platform folder's grants end as "UNANSWERED, DONE", on 2 connections

  Scenario Outline: A surplus answer before that to an order does not take its place
    Given platform folder orders that are answered: "200 with its id", "<surplus> with the id before, <answer> with its id"
    When the platform folder sends it 2 grants
    Then the platform folder's grants end as "DONE, <result>", on 1 connections

    Examples:
      | surplus | answer | result |
      | 200     | 409    | FENCED |
      | 409     | 200    | DONE   |
      | 421     | 200    | DONE   |

  Scenario: A surplus answer that arrives while the connection is idle does not take the next one's place
    Given platform folder orders that are answered: "200 with its id, 200 with its id", "409 with its id"
    When the platform folder sends it 2 grants
    Then the platform folder's grants end as "DONE, FENCED"
