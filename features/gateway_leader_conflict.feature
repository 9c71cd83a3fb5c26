Feature: A leader whose write is refused by a condition does not go on by what it knew

  # Guards against grants by a leader that another one may have replaced: only leaders write these rows.
  Scenario: A leader grants nothing between a failed condition and its next reading of the rows
    Given a gateway owner world in which "a" has half of the keys, and "b" the others
    When a write of the gateway owner leader fails by a condition, and the store answers nothing for 4 s
    Then the gateway owner leader has granted nothing since
    When the store answers the gateway owner leader again, and names it
    And 2 s of gateway owner time pass
    Then the gateway owner leader grants keys again

  # Guards against a leader that reads rows which its writes do not find: it went on for seconds.
  Scenario: A leader hands over if the rows that it reads do not explain the failed condition
    Given a gateway owner world in which "a" has half of the keys, and "b" the others
    When a write of the gateway owner leader fails by a condition, and it reads the rows as it knew them
    Then the gateway owner leader has granted nothing since
    And the gateway owner leader has left the leadership to others

  # Guards against a stop of all renewals where the rows show why the write failed.
  Scenario: A leader goes on where the rows that it reads explain the failed condition
    Given a gateway owner world in which "a" has half of the keys, and "b" the others
    When a write of the gateway owner leader is made late, and the next one fails by a condition
    Then gateway owner "b" holds all keys
    And no two gateway owners held one key
