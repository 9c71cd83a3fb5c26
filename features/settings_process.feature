Feature: Settings of a process

  Scenario Outline: Faulty process settings are refused with the remedy
    When process settings are loaded with the flag "<flag>" as "<value>"
    Then the process settings are refused naming "<text>"

    Examples:
      | flag         | value           | text                                           |
      | host         | localhost       | 'localhost' is not an IP address               |
      | listen_host  | localhost       | 'localhost' is not an IP address               |
      | control_port | 70000           | less than or equal to 65535                    |
      | http_port    | abc             | Change http_port accordingly                   |
      | platform_url | 10.0.0.1:80     | Change platform_url accordingly                |
      | controllers  | 10.0.0.1        | is not an address of the form ip:port          |
      | controllers  | 10.0.0.1:5,x:6  | controllers.1: 'x' is not an IP address        |
      | log_level    | LOUD            | 'DEBUG', 'INFO', 'WARNING' or 'ERROR'          |
      | zone         | a b             | Change zone accordingly                        |
      | zoned        | a               | Did you mean 'zone' instead of 'zoned'         |

  Scenario: A missing field is named
    When process settings are loaded without the flag "zone"
    Then the process settings are refused naming "zone: required field is missing. Set zone."

  Scenario: A missing file is named
    When process settings are loaded from the file "absent.yaml"
    Then the process settings are refused naming "Give the path of a readable file"

  Scenario: A flag wins over the file
    Given a process settings file with the zone "zone-file" and the http port 8001
    When process settings are loaded from that file with the flag "zone" as "zone-flag"
    Then the process settings have the zone "zone-flag" and the http address "10.0.0.9:8001"

  Scenario: A process may listen at another address than it is reached by
    When process settings are loaded with the flag "listen_host" as "0.0.0.0"
    Then the process settings have the zone "zone-a" and the http address "0.0.0.0:8001"
    And the process settings listen for the control port at "0.0.0.0" and tell "10.0.0.9"

  Scenario: Controllers are addresses, also of IPv6
    When process settings are loaded with the flag "controllers" as "10.0.0.1:7101,[::1]:7102"
    Then the process settings name the controllers "10.0.0.1 7101" and "::1 7102"

  Scenario Outline: The sample files are accepted
    When the process settings sample "<file>" is loaded as a <model>
    Then the process settings are accepted with the name "<name>"

    Examples:
      | file                   | model      | name         |
      | controller.sample.yaml | controller | controller-a |
      | router.sample.yaml     | router     | router-a     |

  Scenario Outline: Messages below the level are not written
    When a log message of level "<level>" is written under the level "<threshold>"
    Then the log has <count> lines

    Examples:
      | level   | threshold | count |
      | DEBUG   | INFO      | 0     |
      | none    | INFO      | 1     |
      | none    | WARNING   | 0     |
      | ERROR   | WARNING   | 1     |
      | DEBUG   | DEBUG     | 1     |

  Scenario Outline: A line of the HTTP server about an answer is no error
    When an HTTP answer of status <status> is logged under the level "<threshold>"
    Then the log has <count> lines

    Examples:
      | status | threshold | count |
      | 503    | INFO      | 0     |
      | 404    | INFO      | 0     |
      | 200    | DEBUG     | 0     |

  Scenario: A line of the HTTP server about a refusal has the level DEBUG
    When an HTTP answer of status 503 is logged under the level "DEBUG"
    Then the log has 1 lines
    And the log line has the level "DEBUG"

  Scenario: A record of the standard library is written as one JSON line
    When a standard library warning is logged under the level "INFO"
    Then the log has 1 lines
    And each log line is JSON with the process "settings-test"
