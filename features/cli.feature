Feature: Command line

  Scenario Outline: Misuse ends with 2 and one message that names the remedy
    When the command line is "<line>"
    Then the command line ends with 2
    And its error is one message naming "<text>"

    Examples: reading the line
      | line                                        | text                                    |
      | nothing                                     | Run `indigoworks --help`                |
      | frobnicate                                  | Run `indigoworks --help`                |
      | settings                                    | Run `indigoworks settings --help`       |
      | settings frobnicate                         | Run `indigoworks settings --help`       |
      | settings apply                              | Run `indigoworks settings apply --help` |
      | settings validate a.yaml b.yaml             | Run `indigoworks settings validate --help` |
      | explain shop                                | Run `indigoworks explain --help`        |
      | status --verbos                             | Run `indigoworks status --help`         |
      | status -- --interactive                     | A lone --                               |

    Examples: values
      | line                                        | text                                    |
      | settings validate absent.yaml               | Give the path of a readable file        |
      | settings apply absent.yaml --node http://127.0.0.1:1 | Give the path of a readable file |
      | status                                      | INDIGOWORKS_NODE                        |
      | status --node 127.0.0.1:1                   | Give --node http://IP:PORT              |
      | status --node                               | Give --node http://IP:PORT              |
      | explain shop k --group                      | Give a value after --group              |
      | owners shop --key                           | Give a value after --key                |
      | settings apply a.yaml --expected-version x  | Give a number from 0                    |
      | settings apply a.yaml --change-id a/b       | Use 1 to 64 letters                     |
      | settings progress a/b                       | Use 1 to 64 letters                     |
      | controller                                  | Set name. Set zone. Set host.           |
      | router --name r --seed x                    | Set zone                                |
      | controller --settings absent.yaml           | Give the path of a readable file        |
      | router --host localhost                     | 'localhost' is not an IP address        |
      | controller --zoned a                        | Run `indigoworks controller --help`     |

  Scenario Outline: Help ends with 0 and acts on nothing
    Given a node of the command line
    When the command line is "<line>"
    Then the command line ends with 0
    And it prints "<text>"
    And the node still has version 1

    Examples:
      | line                                  | text                                    |
      | --help                                | Exit codes: 0 done, 1 refused, 2 misuse |
      | settings --help                       | Check, read and change the settings     |
      | settings apply --help                 | YAML or JSON file with the whole tree   |
      | settings apply etc/amman.tree.yaml --help | YAML or JSON file with the whole tree |
      | controller -h                         | TCP port of the internal protocol       |

  Scenario: An unknown flag after a whole command changes nothing
    Given a node of the command line
    And a tree file with the weight 3
    When the command line is "settings apply FILE --node NODE --expectd-version 1"
    Then the command line ends with 2
    And the node still has version 1

  Scenario Outline: Validation without the system
    When the command line is "settings validate <file>"
    Then the command line ends with 0
    And it prints ""is_valid": true"

    Examples:
      | file                       |
      | etc/amman.tree.yaml        |
      | etc/fiji-central.tree.yaml |

  Scenario: An invalid tree is refused here already
    Given a node of the command line
    And a tree file with the weight 0
    When the command line is "settings validate FILE"
    Then the command line ends with 1
    And its error is one message naming "Change services.shop.weight"
    When the command line is "settings apply FILE --node NODE"
    Then the command line ends with 1
    And the node still has version 1

  Scenario Outline: Reading
    Given a node of the command line
    When the command line is "<line> --node NODE"
    Then the command line ends with 0
    And its JSON has "<field>" as <value>

    Examples:
      | line                               | field                | value                |
      | status                             | health.role          | "leader"             |
      | status                             | voters.0.name        | "controller-a"       |
      | status                             | servers.0.name       | "shop-1"             |
      | status                             | routers.0.member.name | "router-a"          |
      | owners                             | ranges.1.owner       | "shop-2"             |
      | owners shop                        | ranges.0.token       | 7                    |
      | settings show                      | version              | 1                    |
      | settings progress first            | is_everywhere        | true                 |
      | settings resolve shop --key hot    | values.retry_limit   | [0, "services.shop.keys.hot"] |
      | explain shop 0012                  | key                  | "0012"               |
      | explain shop 1_000                 | key                  | "1_000"              |
      | explain shop --key=-5              | key                  | "-5"                 |
      | explain shop k                     | range.token          | 7                    |
      | explain shop a/b                   | path                 | "/v1/shop/a%2Fb"     |

  Scenario: The node may come from the environment
    Given a node of the command line, named by the environment
    When the command line is "status"
    Then the command line ends with 0

  Scenario Outline: Refusals of the system end with 1
    Given a node of the command line
    When the command line is "<line> --node NODE"
    Then the command line ends with 1
    And its error is one message naming "<text>"

    Examples:
      | line                   | text                 |
      | owners none            | Known services: shop |
      | explain none k         | Known services: shop |
      | settings progress none | Send it again        |

  Scenario: Nobody serves at the node
    When the command line is "status --node http://127.0.0.1:1"
    Then the command line ends with 1
    And its error is one message naming "name another --node"

  Scenario: A change tells its version and how many routers have it
    Given a node of the command line
    And a tree file with the weight 3
    When the command line is "settings apply FILE --node NODE --expected-version 1 --change-id mine"
    Then the command line ends with 0
    And its JSON has "change_id" as "mine"
    And its JSON has "version" as 2
    And its JSON has "routers_in_force" as 2

  Scenario: Without an expected version the one in force is taken
    Given a node of the command line
    And a tree file with the weight 3
    When the command line is "settings apply FILE --node NODE"
    Then the command line ends with 0
    And its JSON has "version" as 2

  Scenario: A change that another operator forestalled is refused with the difference
    Given a node of the command line
    And a tree file with the weight 3
    When the command line is "settings apply FILE --node NODE --expected-version 0"
    Then the command line ends with 1
    And its error names "services.shop.weight: 2.0 -> 3.0"
    And the node still has version 1

  Scenario: A store outage is refused with when to come back
    Given a node of the command line whose changes fail as "store down"
    And a tree file with the weight 3
    When the command line is "settings apply FILE --node NODE"
    Then the command line ends with 1
    And its error is one message naming "Retry after 2.5 s"

  Scenario Outline: A lost answer is resolved by reading back
    Given a node of the command line whose changes fail as "<failure>"
    And a tree file with the weight 3
    When the command line is "settings apply FILE --node NODE --change-id mine"
    Then the command line ends with <code>
    And the command line says "<text>"

    Examples:
      | failure                    | code | text                                        |
      | lost after it took effect  | 0    | "version": 2                                |
      | connection cut after it took effect | 0 | "version": 2                          |
      | lost before it took effect | 1    | --change-id mine --expected-version 1       |

  Scenario Outline: A process ends with 0 on a stop signal
    When a <process> process of the command line runs and gets <signal>
    Then the process of the command line ends with 0
    And it has logged "process:stopped" as JSON lines only

    Examples:
      | process    | signal  |
      | controller | SIGTERM |
      | router     | SIGINT  |

  Scenario: A port in use is refused
    When a controller process of the command line finds its HTTP port in use
    Then the process of the command line ends with 1
    And its error is one message naming "a port that is free"
