Feature: Large answers of the platform's store come whole over slow links
  # What users saw: two gateways on links of 5 Mbit/s answered 404 for a route, 2.56 and 2.71 s after
  # the change that added it was acknowledged; it has to be in force within 2.5 s.
  # Order of events: the operator's configuration grows to 2,533 routes, 0.58 MB as the store encodes
  # it. Peers tell that they have a newer one; the gateways read the rows whole beside their feed. A
  # reading is given up after 1 s although its bytes keep coming, what came is thrown away, the call
  # counts as a trouble of the store, and the reading is begun again on the link that the feed needs.
  # Cause: one limit of 1 s for a whole call, whatever the size of its answer. Computed, 0.58 MB need
  # 0.93 s on such a link when it is idle, and 1.7 s where requests leave it 0.35 MB/s.
  # Evidence: 30 whole readings of the operator's rows given up unanswered within 3.5 s, and no call
  # of the store refused.
  # So the limits of a large answer are on silence: until its headers, and from one piece to the next.

  Scenario: A whole reading whose bytes keep coming is taken whole, and is no trouble
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends answers in 12 pieces, 0.12 s apart
    When the platform folder reads part "p"
    Then the platform folder got the 40 rows of part "p" in order, at the store's version
    And the platform folder sees no trouble
    And the platform folder's next call goes over the same connection

  Scenario: A step of the feed whose bytes keep coming is taken whole, and is no trouble
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends answers in 12 pieces, 0.12 s apart
    When the platform folder follows from version 0
    Then the platform folder got the 40 large rows from the feed
    And the platform folder sees no trouble

  Scenario Outline: An answer that ends in its middle is lost
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends 3 of 12 pieces of its answers, then <end>
    When the platform folder <call>
    Then the platform folder's call fails as StoreUnreachable
    And the platform folder sees trouble
    And the platform folder's next call goes over another connection

    Examples:
      | end     | call                   |
      | nothing | reads part "p"         |
      | nothing | follows from version 0 |
      | closes  | reads part "p"         |
      | closes  | follows from version 0 |

  Scenario: Headers that do not come in time, though a part of them came
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends half the headers of its answers
    When the platform folder reads part "p"
    Then the platform folder's call fails as StoreUnreachable
    And the platform folder sees trouble
    And the platform folder's next call goes over another connection

  Scenario: An answer is slow by its first byte, and its trouble stands at that moment
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store begins answers after 0.4 s and sends 12 pieces, 0.05 s apart
    When the platform folder reads part "p"
    Then the platform folder got the 40 rows of part "p" in order, at the store's version
    And the platform folder's trouble stands before the last pieces were sent

  Scenario: A slow answer whose end comes after another trouble does not stand for it
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store begins answers after 0.4 s and sends 12 pieces, 0.05 s apart
    When the platform folder reads part "p", and a transaction is refused after some pieces
    Then the platform folder got the 40 rows of part "p" in order, at the store's version
    And the platform folder's last trouble is that of the transaction

  Scenario: The answer to a transaction has one limit for all of it
    Given a platform folder store with pages of 500 rows
    And the platform folder store sends answers in 12 pieces, 0.12 s apart
    When the platform folder commits two rows that must be absent
    Then the platform folder's call fails as StoreUnreachable
    And the platform folder sees trouble
    And the platform folder store had sent some pieces by then

  Scenario: A bound on the whole ends an answer that trickles
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends answers in 4000 pieces, 0.03 s apart
    When rows are asked for over one connection, with 600 s for silence and 0.5 s for the whole
    Then the question for rows has lost its answer after some pieces
    And the next question for rows is answered over another connection

  Scenario: Silence ends an answer long before the bound on the whole
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends 6 of 12 pieces of its answers, then nothing
    When rows are asked for over one connection, with 0.3 s for silence and 600 s for the whole
    Then the question for rows has lost its answer after some pieces
    And the next question for rows is answered over another connection

  Scenario: Pieces count that are far smaller than what the HTTP library reads at once
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 4 large rows
    And the platform folder store sends answers in 40 pieces, 0.03 s apart
    When rows are asked for over one connection, with 0.6 s for silence and 600 s for the whole
    Then the question for rows is answered whole

  Scenario: Without limits of a transfer the time is for the whole answer
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends answers in 4000 pieces, 0.03 s apart
    When rows are asked for over one connection, with 0.5 s for everything
    Then the question for rows has lost its answer after some pieces
    And the next question for rows is answered over another connection

  Scenario: A question that is cancelled in the middle of its answer gives its place back
    Given a platform folder store with pages of 500 rows
    And the platform folder store holds 40 large rows
    And the platform folder store sends answers in 4000 pieces, 0.03 s apart
    When rows are asked for over one connection, and no longer after some pieces
    Then the next question for rows is answered over another connection
