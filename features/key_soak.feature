Feature: Soak of real processes for services whose servers hold keys

  Scenario Outline: A checker of owners sees its rule broken: <rule>
    Given a record of key servers in which <rule>
    Then the checkers of owners find just <finding>

    Examples: broken rules
      | rule                                                                      | finding     |
      | two servers hold a key together for 0.6 s                                 | owner_hold  |
      | a stopped server holds a key beside another one                           | owner_hold  |
      | two servers hold keys together by renewals of either                      | owner_hold  |
      | two servers hold a key together for 0.4 s and both begin requests on it   | owner_work  |
      | a grant that was late makes both servers begin requests on a key          | owner_work  |
      | a server takes a key that another one works on after its release          | owner_work  |
      | a server takes a key under the token that another one had                 | owner_token |
      | a server takes a key under a lower token than another one had long before | owner_token |
      | another server takes a key under the token that a killed one had          | owner_token |
      | a server takes an old grant right after a link healed                     | owner_token |
      | two servers hold a key together after another sender was thawed           | owner_hold  |
      | two servers hold a key together 0.4 s after the sender was thawed         | owner_hold  |
      | two servers hold a key together after the link of another server healed   | owner_hold  |

    Examples: kept rules
      | rule                                                                      | finding     |
      | a key passes from server to server                                        | nothing     |
      | two servers hold a key together for 0.4 s                                 | nothing     |
      | two servers hold different keys and both begin requests                   | nothing     |
      | a server is killed and another one takes its key                          | nothing     |
      | a hold is cut short by a renewal                                          | nothing     |
      | a grant is renewed after another server had the key                       | nothing     |
      | a server takes a key when the other one's work has ended                  | nothing     |
      | both servers begin requests, one before both hold the key                 | nothing     |

  Scenario Outline: The checkers of owners excuse, and tell apart, that <rule>
    Given a record of key servers in which <rule>
    Then the checkers of owners find just nothing
    And the checkers of owners excuse <finding>

    Examples:
      | rule                                                                  | finding    |
      | two servers hold a key together right after the sender was thawed     | owner_hold |
      | two servers hold a key together right after the link healed           | owner_hold |
      | two servers hold a key together by a grant that was late              | owner_hold |

  Scenario Outline: A checker of requests with keys sees that <rule>
    Given a record of key servers in which <rule>
    Then the checkers of requests with keys find just <finding>

    Examples:
      | rule                                                | finding       |
      | a request that may run once ran at two servers      | single_runs   |
      | a request that ran was refused by the gateway       | refusals_kept |
      | a request that ran was answered with 502            | nothing       |
      | a request that did not run was refused              | nothing       |

  Scenario: Plans of the soak with keys depend on the seed alone, and hold events of every kind
    Then plans of the soak with keys of 40 seeds are drawn alike twice and hold every kind

  Scenario: A server that holds keys keeps to what the pages promise of it
    Given a book of keys of a server
    When the book takes keys 10 to 20 under token 5 for 3 s
    And the book releases keys 15 to 20 under token 7
    Then the book refuses keys 18 to 30 under token 6
    And the book takes keys 10 to 14 under token 5 for 3 s
    And the book holds 14 and does not hold 15

  Scenario: A server that forgets the tokens of releases takes what it had released
    Given a book of keys of a server that forgets the tokens of releases
    When the book takes keys 10 to 20 under token 5 for 3 s
    And the book releases keys 10 to 20 under token 7
    Then the book takes keys 10 to 20 under token 5 for 3 s
    And the book refuses keys 10 to 20 under token 4

  Scenario: Real gateways and servers that hold keys keep the rules of owners under planned work
    When a short soak with keys of seed 7 runs
    Then the checkers of owners find just nothing
    And every server of the soak with keys began requests, and keys passed on

  # Guards against a repeated refusal that is taken for the answer to the request's second send.
  Scenario: Real servers that start again and repeat refusals run no request twice
    When a short soak with keys of seed 11 runs in which servers start again and repeat refusals
    Then the checkers of owners find just nothing
    And the checkers of requests with keys find just nothing
    And every server of the soak with keys began requests, and keys passed on

  Scenario: The checkers of owners find two real servers that hold the same keys
    When a soak with keys runs in which a stranger grants what a server holds to another one
    Then the checkers of owners find owner_hold and owner_token

  # Guards against a second owner by a grant that no beat has told of.
  Scenario Outline: What a leader had sent when it ended is waited for by the next one: <signal>
    When a leader gets <signal> with a grant under way that its server applies 8 s late
    Then the late grant arrived and was applied or refused then
    And the checkers of owners find just nothing
    And the checkers of owners excuse nothing

    Examples:
      | signal  |
      | SIGTERM |
      | SIGKILL |
