Feature: The platform folder reads settings, configuration and server entries

  Scenario: The template of the settings fits the settings that are read
    When the platform folder's template is filled with every field
    Then the platform folder's settings hold each of them
    When the platform folder's template is filled without the fields that may be missing
    Then the platform folder's settings can be read

  Scenario Outline: Settings that cannot be used
    When the platform folder's settings file <state>
    Then the platform folder's settings fail with a remedy that names the template

    Examples:
      | state            |
      | is missing       |
      | is garbled       |
      | lacks a field    |
      | names no port    |
      | is a list        |

  Scenario Outline: A setting outside of what can be used is refused by its name
    When the platform folder's settings say <value> for <field>
    Then the platform folder's settings are refused with a remedy that names <field>

    Examples:
      | field               | value         |
      | node                | ""            |
      | node                | 7             |
      | peer_port           | 0             |
      | peer_port           | 65536         |
      | metrics_port        | 70.5          |
      | metrics_port        | true          |
      | metrics_port        | null          |
      | front_address       | "10.0.0.7"    |
      | front_address       | "10.0.0.7:0"  |
      | readiness_address   | "10.0.0.7:x"  |
      | store_address       | 99            |
      | server_heartbeat_ms | 0             |
      | server_heartbeat_ms | "soon"        |
      | drain_ms            | -1            |
      | stop_grace_s        | -6            |
      | hold_max_ms         | NaN           |
      | hold_max_ms         | Infinity      |
      | retry_ratio         | 1.01          |
      | retry_ratio         | -0.1          |
      | retry_ratio         | true          |
      | retry_window_s      | 0             |
      | retry_slack         | []            |

  Scenario Outline: The ends of what a setting may say can be used
    When the platform folder's settings say <value> for <field>
    Then the platform folder's settings can be used

    Examples:
      | field          | value         |
      | peer_port      | 1             |
      | peer_port      | 65535         |
      | metrics_port   | "7009"        |
      | store_address  | "h:65535"     |
      | retry_ratio    | 0             |
      | retry_ratio    | 1             |
      | retry_slack    | 0             |
      | drain_ms       | 0             |
      | hold_max_ms    | 0.5           |

  Scenario: A configuration as the platform writes it
    Then the platform folder reads routes, services and limits of a configuration

  Scenario: A configuration that cannot be read gives an error with a remedy
    Then the platform folder refuses each unreadable configuration with a remedy

  Scenario: A server entry as the platform writes it
    Then the platform folder reads a server entry, and passes over unreadable ones
