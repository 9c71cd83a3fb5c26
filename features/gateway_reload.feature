Feature: New settings in a running gateway

  Scenario: Settings that a running process can take on are in force at once
    Given a gateway process with a settings file
    When a gateway process caller asks once
    And the gateway process's settings file says {"retry_ratio": 0.5, "retry_slack": 30, "hold_max_ms": 2000, "server_heartbeat_ms": 500, "stop_grace_s": 9, "drain_ms": 3000, "retry_window_s": 5} and SIGHUP comes
    Then the gateway process wrote one reload line with the outcome "changed"
    And the gateway reload line names as changed drain_s, hold_max_s, retry_ratio, retry_slack, retry_window_s, server_heartbeat_s, stop_grace_s
    And the gateway reload line names as in need of a restart nothing
    And the gateway process metric "gateway_repeat_budget{service=shop,kind=allowed}" is what its settings give for 1 request
    And the gateway process grants with a hold of 2 s from then on
    And the gateway process gives servers 2 s after trouble, and ends within 9 s

  Scenario Outline: Settings that cannot be used leave the last sound ones in force
    Given a gateway process with a settings file
    When the gateway process's settings file <state> and SIGHUP comes
    Then the gateway process wrote one reload line with the outcome "refused"
    And the gateway reload line gives the error "<error>" and a remedy that names "<remedy>"
    And the gateway process goes by the settings object of its start
    When the gateway process's settings file says {"retry_ratio": 0.5} and SIGHUP comes
    Then the gateway process's second reload line has the outcome "changed"

    Examples:
      | state                                              | error               | remedy                    |
      | is gone                                            | settings_unreadable | gateway.settings.template |
      | is cut short                                       | settings_unreadable | gateway.settings.template |
      | says {"retry_ratio": 7, "hold_max_ms": 2000}       | settings_invalid    | retry_ratio               |
      | says {"metrics_port": 0}                           | settings_invalid    | metrics_port              |

  Scenario: Settings that are as before change nothing
    Given a gateway process with a settings file
    When the gateway process's settings file says {} and SIGHUP comes
    Then the gateway process wrote one reload line with the outcome "unchanged"
    And the gateway reload line names as changed nothing
    And the gateway reload line names as in need of a restart nothing
    And the gateway process goes by the settings object of its start

  Scenario: What needs a restart is named and keeps its value
    Given a gateway process with a settings file
    When the gateway process's settings file says {"node": "n9", "front_address": "127.0.0.1:9", "retry_slack": 30} and SIGHUP comes
    Then the gateway process wrote one reload line with the outcome "changed"
    And the gateway reload line names as changed retry_slack
    And the gateway reload line names as in need of a restart front_address, node
    And the gateway process still has the node "n1" and answers at its address

  Scenario: A reload cuts no request and touches no listening socket
    Given a gateway process with a settings file
    When a gateway process request is at its server while settings change
    Then the gateway process request is answered whole, and the next one on its connection
    And the gateway process listens on the sockets of its start

  Scenario: A longer window begins as that of a new process
    Then gateway budget: after a longer window is set, the share of a new process applies
