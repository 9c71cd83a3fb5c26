Feature: Rules of leases, ownership and settings on the controller

  Scenario: The leader's count of a lease never ends before the server's
    Then controller: for all delays and drifts in bounds the server's lease ends first

  Scenario: A renewal counts from the reading that it is based on, not from its sending
    Given controller: a lease with a reading of 100.0 s received at 10.0 s
    When controller: the lease is extended
    Then controller: the end sent is 101.5 s on the server's clock
    And controller: the lease has not lapsed at 11.53 s and has lapsed at 11.5304 s

  Scenario: A change of ranges based on an older state is void
    Given controller: a state in which server "a" owns the key space
    When controller: two changes are applied that both expect owner "a"
    Then controller: the first change stands and the second is void

  Scenario: Fencing tokens grow over changes and generations
    Given controller: a state in which server "a" owns the key space
    When controller: the key space is granted anew in generations 1, 1 and 2
    Then controller: each token is larger than the one before

  Scenario: Settings versions never go back
    Given controller: a state in which server "a" owns the key space
    When controller: settings versions 1, 3 and 2 are applied
    Then controller: version 3 is in force

  Scenario: A restored snapshot equals its source
    Given controller: a state in which server "a" owns the key space
    When controller: settings versions 1, 3 and 2 are applied
    Then controller: a state restored from its snapshot has the same content

  Scenario: A delta takes a follower from one version to another
    Given controller: a state in which server "a" owns the key space
    When controller: settings versions 1, 3 and 2 are applied
    Then controller: the delta from the first version carries settings version 3 and no more
    And controller: a follower behind the kept history gets no delta

  Scenario: A cut for a hot key keeps owner and token
    Then controller: for all places a cut covers the range, with one part for the place alone

  Scenario: Balancing moves end and never make the heaviest server heavier
    Then controller: for all loads the moves end with a ratio that no single move betters

  Scenario: A move budget is never exceeded
    Then controller: for all intervals at most the budget's moves are taken

  Scenario: Servers lost together leave their ranges evenly to those that remain
    Given controller: 6 servers that share 24 ranges
    When controller: 3 of them are lost together
    Then controller: no lost server owns a range
    And controller: each remaining server owns 8 ranges

  Scenario: Of the settings the history keeps only the newest
    Given controller: a state in which server "a" owns the key space
    When controller: settings versions 1, 3 and 2 are applied
    Then controller: the history holds one tree
