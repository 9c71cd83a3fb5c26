Feature: Entries of the list of servers that another program than a server has written

  # An entry that is taken for a server's gets requests and keys.
  Scenario Outline: An entry with <field> <value> names no server
    When the platform folder reads a server entry with <field> <value>
    Then the platform folder's entry names no server, and the error tells the remedy

    Examples:
      | field            | value                  |
      | service          | left out               |
      | service          | ["shop"]               |
      | service          | {}                     |
      | service          | 7                      |
      | service          | null                   |
      | service          | ""                     |
      | address          | left out               |
      | address          | "10.0.0.9"             |
      | address          | ":80"                  |
      | address          | "10.0.0.9:"            |
      | address          | "10.0.0.9:0"           |
      | address          | "10.0.0.9:99999"       |
      | address          | "10.0.0.9:-1"          |
      | address          | "10.0.0.9:8o"          |
      | address          | "10.0.0.9: 80"         |
      | address          | "10.0.0.9:²"           |
      | address          | "0.0.0.0:80"           |
      | address          | "224.0.0.1:80"         |
      | address          | "shop.example:80"      |
      | address          | ["10.0.0.9:80"]        |
      | zone             | left out               |
      | zone             | ["z"]                  |
      | zone             | null                   |
      | version          | left out               |
      | slots            | left out               |
      | slots            | "2"                    |
      | slots            | true                   |
      | slots            | 0                      |
      | slots            | -4                     |
      | slots            | 2.5                    |
      | slots            | 1e999                  |
      | slots            | 99999999999999999999   |
      | state            | left out               |
      | state            | "inspected"            |
      | state            | "Ready"                |
      | state            | null                   |
      | state            | 1                      |
      | state            | ["ready"]              |
      | warm_up_left_ms  | left out               |
      | warm_up_left_ms  | "soon"                 |
      | warm_up_left_ms  | -1                     |
      | warm_up_left_ms  | NaN                    |
      | warm_up_left_ms  | 1e999                  |
      | seq              | left out               |
      | seq              | "4"                    |
      | seq              | -1                     |
      | seq              | true                   |
      | seq              | 1e999                  |
      | born             | null                   |
      | born             | "1790000000000"        |
      | born             | 1790000000000.5        |
      | born             | true                   |
      | born             | 0                      |
      | born             | 1e999                  |
      | note             | 60,000 open brackets   |

  Scenario Outline: <bytes> as an entry name no server
    When the platform folder reads <bytes> as a server entry
    Then the platform folder's entry names no server, and the error tells the remedy

    Examples:
      | bytes                  |
      | no bytes               |
      | bytes that are no text |
      | an unfinished text     |
      | a list                 |
      | a number               |
      | 60,000 open brackets   |
      | half of a character    |

  # The id of a server travels in headers of HTTP.
  Scenario Outline: An entry under the key <key> names no server
    When the platform folder reads a server entry under the key <key>
    Then the platform folder's entry names no server, and the error tells the remedy

    Examples:
      | key            |
      | ""             |
      | "i 1"          |
      | "i-1\r\nA: b"  |
      | "i-é"          |

  Scenario: Whatever an entry holds, reading it gives a server that can be used or an error
    Then the platform folder reads drawn entries without any other outcome

  # A fault in one entry must not cost the others, nor the following of the list.
  Scenario Outline: A server is followed beside an entry with <field> <value>
    Given a platform folder store with pages of 3 rows
    And the platform folder store holds configuration 3 and a server
    And the platform folder store holds an entry of another writer with <field> <value>
    When the platform folder's followers run
    Then the platform folder's configuration is 3 and its server is known
    When the platform folder store gets a new entry of another writer with <field> <value>, then a change of the server
    Then the platform folder's configuration is 3 and its server drains

    Examples:
      | field   | value                  |
      | service | ["shop"]               |
      | zone    | {}                     |
      | slots   | 1e999                  |
      | note    | 60,000 open brackets   |
