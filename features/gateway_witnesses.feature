Feature: Witnesses know which servers may yet apply a grant, before it is sent

  # A grant in flight when its leader is killed would be known to nobody.
  Scenario: No grant is sent to a server that a witness does not list
    Then gateway witnesses: a server is admitted only once two of three witnesses list it

  # A late grant would find its keys at another server.
  Scenario: A server stays listed until it has answered all its grants
    Then gateway witnesses: a server is listed while a grant is in flight or unanswered

  # A leader that was replaced would send grants that its successor knows nothing of.
  Scenario: A fenced witness stops the leader from sending grants to further servers
    Then gateway witnesses: after a fence only servers in the record are admitted

  # A successor would read an old record at a witness that the row names.
  Scenario: A witness keeps the record before the leader row names it
    Then gateway witnesses: a lost witness is replaced by one that keeps the record already

  # A row whose answer was lost may be in force, and its witnesses may be asked.
  Scenario: Witnesses of a row that may have been written have to acknowledge
    Then gateway witnesses: after a row write without an answer old and new witnesses are needed

  # Nothing could be granted while a witness starts again and the store is out.
  Scenario: A witness whose process has ended is not waited for
    Then gateway witnesses: a witness whose node runs again is needed no more

  # Keys of an unreachable server would pass while its long hold lasts.
  Scenario: Long holds are granted only once all witnesses know of them
    Then gateway witnesses: in trouble of the store owners are listed, then long holds granted

  # Keys of all unreachable servers would wait for orders that were never sent.
  Scenario: A successor waits for late grants to listed servers alone
    Then gateway witnesses: the bound of a server that is not listed is that of its hold

  # A witness that is lost with the leader would leave the successor without any knowledge.
  Scenario: Two of three witnesses are enough for the successor
    Then gateway witnesses: a successor that reaches two of three witnesses gets the record

  # One lost gateway would stop all grants until the store has taken another one.
  Scenario: A leader goes on while one of three witnesses is lost
    Then gateway witnesses: with one of three witnesses lost grants go on, with two they do not

  # A process that never had the record would answer that nothing is open.
  Scenario: Witnesses without a record tell nothing
    Then gateway witnesses: a fence without a record leaves the bound of all servers

  # The bound of all servers would be waited for after each leader that is lost as it begins.
  Scenario: A leader that is lost before its first record has sent nothing
    Then gateway witnesses: the record of the leader before is taken where the last one has none

  # A planned stop leaves grants in flight as a kill does.
  Scenario: The row of a leader that resigned names its witnesses
    Then gateway witnesses: the witnesses stay in the row of a leader that resigned

  Scenario: What a record tells is rounded to the safe side
    Then gateway witnesses: for all datagrams times come out no shorter than they went in

  # The loss of a zone would take leader and witnesses at once.
  Scenario: Witnesses are selected in other zones than the leader's
    Then gateway witnesses: other zones come first, then the witnesses of before
