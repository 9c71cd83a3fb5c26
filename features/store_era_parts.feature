Feature: Rows of an earlier era are not taken for those of the current one

  # Guards against a leader that goes on by the rows of the copy: its reads waited until the store was back.
  Scenario: A read that waits for the store is not sent for the part of an era that has ended meanwhile
    Given a store that refuses calls, and a read of the group's rows that waits to probe it
    When the store comes back from a copy, and a peer tells of the new era before the probe is sent
    Then the read ends with EraEnded and the store got no read of the former part

  # Guards against a condition that the rows of a new era meet by chance.
  Scenario: A transaction with a condition on a row of an earlier era is not sent
    Given a store that has come back from a copy
    When a transaction is committed whose condition names a row of the era before
    Then the commit ends with EraEnded and the store got no transaction

  # Guards against rows that are applied after their era: they would count as proof of leadership in the next one.
  Scenario: A full read that arrives as an era begins is read again in the new part
    Given a follower of the group's rows whose read is answered as an era begins
    Then no rows of the former part are applied, and the new part is read next

  # Guards against all keys waiting for 12 s and more after a drill in groups that pace their calls to the store.
  Scenario: The keys of a large group are served after the store came back from a copy
    When control simulation brings the store of 18 gateways back from a copy, and a server leaves in the span that is lost
    Then control simulation found nothing in any of the runs
