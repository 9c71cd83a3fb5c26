Feature: The page of metrics of a gateway

  Scenario: The operators' page lists each family of the page, and no other
    Given a gateway process with servers "s1" that answers and "k1" with keys
    When a gateway process caller asks, and the page of metrics has its first values
    Then the operators' page lists the families of the gateway's page of metrics

  Scenario: Requests show in the gauges while they wait and run, and in the counters after
    Given a gateway process with servers "s1" that holds and "k1" with keys
    Then the gateway process metric "gateway_in_flight{service=shop}" becomes 0
    When a gateway process gets 8 requests at once, of which its server has room for 6
    Then the gateway process metric "gateway_in_flight{service=shop}" becomes 6
    And the gateway process metric "gateway_waiting{service=shop}" becomes 2
    And the gateway process metric "gateway_connections_opened_total{purpose=requests}" becomes 6
    And the gateway process metric "gateway_connections_opened_total{purpose=orders}" grows
    When the gateway process server "s1" answers all
    Then the gateway process metric "gateway_in_flight{service=shop}" becomes 0
    And the gateway process metric "gateway_waiting{service=shop}" becomes 0
    And the gateway process metric "gateway_requests_total{service=shop,outcome=answered,reason=200}" becomes 8
    And the gateway process metric "gateway_attempt_seconds_count{service=shop,result=answered}" becomes 8
    And the gateway process metric "gateway_request_seconds_count{service=shop,outcome=answered}" becomes 8

  Scenario: A request without the key that its service needs is counted and has its line
    Given a gateway process with servers "s1" that answers and "k1" with keys
    When a gateway process caller asks the service with keys without a key
    Then the gateway process metric "gateway_requests_total{service=book,outcome=no_key,reason=400}" becomes 1
    And the gateway process wrote one line "request:no_key" that names the service with keys

  Scenario: Repeats show beside what the budget allows
    Given a gateway process with servers "s1" that loses the answer and "k1" with keys
    Then the gateway process metric "gateway_repeat_budget{service=shop,kind=used}" becomes 0
    When a gateway process caller sends a request that fails
    Then the gateway process metric "gateway_repeat_budget{service=shop,kind=used}" is 1
    And the gateway process metric "gateway_repeat_budget{service=shop,kind=allowed}" is what its settings give for 1 request

  Scenario: Control shows in the gauges and counters
    Given a gateway process with servers "s1" that answers and "k1" with keys
    Then the gateway process metric "gateway_is_leader" becomes 1
    And the gateway process metric "gateway_epoch" becomes 1
    And the gateway process metric "gateway_grants{state=granted}" becomes 1
    And the gateway process metric "gateway_grants{state=pending}" becomes 0
    And the gateway process metric "gateway_orders_total{order=grant,outcome=done}" grows
    And the gateway process metric "gateway_order_seconds_count{order=grant}" grows
    And the gateway process metric "gateway_store_calls_total{call=follow,outcome=done}" grows
    And the gateway process metric "gateway_store_call_seconds_count{call=follow}" grows
    And the gateway process's ages of proofs are small, and those of its configuration grow
    When another gateway process leads epoch 2
    Then the gateway process metric "gateway_is_leader" becomes 0
    And the gateway process metric "gateway_epoch" becomes 2
    And the gateway process metric "gateway_grants{state=granted}" becomes 0

  Scenario: A call to the store that failed is counted as such
    Given a gateway process whose store loses the answer of its first write
    Then the gateway process metric "gateway_store_calls_total{call=commit,outcome=store_unreachable}" becomes 1

  Scenario: Configuration, servers and peers show as they change
    Given a gateway process with servers "s1" that answers and "k1" with keys
    Then the gateway process metric "gateway_configuration_version" becomes 1
    And the gateway process metric "gateway_servers{service=shop,state=usable}" becomes 1
    And the gateway process metric "gateway_slots{service=shop}" becomes 4
    When the gateway process gets configuration 2, and its server "s1" begins to leave
    Then the gateway process metric "gateway_configuration_version" becomes 2
    And the gateway process metric "gateway_servers{service=shop,state=known}" becomes 1
    And the gateway process metric "gateway_servers{service=shop,state=usable}" becomes 0
    And the gateway process metric "gateway_slots{service=shop}" becomes 0
    When the gateway process hears 2 peers
    Then the gateway process metric "gateway_live_peers" becomes 2

  Scenario: Lines that the log dropped are counted
    Given a gateway process with servers "s1" that answers and "k1" with keys
    When the gateway process log drops 3 lines of type "request:answered"
    Then the gateway process metric "gateway_log_lines_dropped_total{type=request:answered}" becomes 3
