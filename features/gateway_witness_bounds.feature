Feature: The bound of each server covers what the lost leader may have granted it

  # The question goes out under the token with which that leader renews: nothing is refused.
  Scenario: An owner's answer to the question of a new era does not end its former leader's grants
    Then gateway witnesses: an answer under a former era's token leaves the predecessor's bound

  # The next leader would pass keys of a server that nobody has reached.
  Scenario: A witness knows of holds that a lost era may have left
    Then gateway witnesses: a record tells of holds that a lost era may have left

  # A longer hold, applied late, would outlast the bound of the next leader.
  Scenario: No hold is longer than witnesses were told, whatever the settings become
    Then gateway witnesses: no longer hold is granted than witnesses were told

  # A long hold of the store's trouble outlasts a late grant of the time after it.
  Scenario: The bound of a listed server covers holds of before
    Then gateway witnesses: a listed server's bound covers the long holds that it answered

  # The row of an earlier run of the node may be made seconds later, without a condition.
  Scenario: A witness whose node's row was written late is required
    Then gateway witnesses: a witness that a late row write hides is still required

  # The process may stand still between the recording of a grant and its last look.
  Scenario: A pause before the sending is in the bound of a grant
    Then gateway witnesses: the bound of a grant counts from the last look before its bytes

  # Its bound by time has passed while it stood still; it answers an order for other keys first.
  Scenario: A server that was silent and answers again may have applied what waited
    Then gateway witnesses: a grant that waited at a silent server counts from its first answer
