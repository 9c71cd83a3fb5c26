Feature: Administration API

  Scenario Outline: Reading
    Given an administration over a control plane
    When the administration gets "<path>"
    Then the administration answers 200 with "<field>" as <value>

    Examples:
      | path                                     | field                  | value                |
      | /settings                                | version                | 1                    |
      | /settings                                | tree.services.shop.weight | 2.0               |
      | /settings/resolved?service=shop          | values.weight          | [2.0, "services.shop"] |
      | /settings/resolved?service=shop&key=hot  | values.retry_limit     | [0, "services.shop.keys.hot"] |
      | /settings/resolved?service=shop&key=cold | values.retry_limit     | [2, "built-in"]      |
      | /settings/changes/first                  | routers_in_force       | 2                    |
      | /settings/changes/first                  | is_everywhere          | true                 |
      | /owners                                  | ranges.0.owner         | "shop-1"             |
      | /owners?service=shop                     | ranges.1.start         | "0x8000000000000000" |
      | /owners?service=shop                     | ranges.1.end           | "0xffffffffffffffff" |
      | /owners?service=shop                     | ranges.1.token         | 7                    |
      | /owners                                  | view_version           | 41                   |
      | /members                                 | leader.name            | "controller-a"       |
      | /members                                 | learners.0.name        | "controller-b"       |
      | /servers                                 | servers.1.state        | "live"               |
      | /servers                                 | servers.1.ranges       | 1                    |
      | /routers                                 | routers.0.member.name  | "router-a"           |
      | /routers                                 | routers.1.since_poll_s | 1.5                  |
      | /health                                  | role                   | "leader"             |
      | /health                                  | settings_version       | 1                    |

  Scenario Outline: The range of a key is the one that holds its place
    Given an administration over a control plane
    When the administration gets the owner of the key "<key>"
    Then the administration answers with the only range that holds the place of "<key>"

    Examples:
      | key       |
      | 0012      |
      | a b/c?d+e |
      | ﻗﻠﻢ       |
      | %FF       |

  Scenario Outline: Refusals name what is wrong and the remedy
    Given an administration over a control plane
    When the administration is asked "<method>" "<path>" with "<body>"
    Then the administration answers <status> of kind "<kind>" naming "<text>"

    Examples:
      | method | path                                  | body  | status | kind               | text                        |
      | GET    | /nothing                              |       | 404    | unknown_node       | Under /admin/v1 there are   |
      | POST   | /settings                             |       | 405    | method_not_allowed | Use GET or PUT              |
      | GET    | /owners?servce=shop                   |       | 400    | bad_request        | Parameters of this path     |
      | GET    | /owners?service=shop&service=shop     |       | 400    | bad_request        | is given twice              |
      | GET    | /owners?key=k                         |       | 400    | bad_request        | needs its service           |
      | GET    | /owners?service=none                  |       | 404    | unknown_service    | Known services: shop        |
      | GET    | /settings/resolved                    |       | 400    | bad_request        | Give ?service=NAME          |
      | GET    | /settings/resolved?service=none       |       | 404    | unknown_service    | Known services: shop        |
      | GET    | /settings/changes/none                |       | 404    | unknown_change     | Send it again               |
      | POST   | /servers/none/drain                   |       | 404    | unknown_server     | List the servers            |
      | PUT    | /settings                             | nope  | 400    | bad_request        | field: value                |
      | PUT    | /settings                             | {}    | 400    | bad_request        | Set change_id               |
      | PUT    | /settings                             | {change_id: a, tree: {}, tre: 1} | 400 | bad_request | Did you mean 'tree' |
      | PUT    | /settings                             | {change_id: a, tree: {}} | 400 | bad_request   | as If-Match            |
      | PUT    | /settings?expected_version=1          | {change_id: a, expected_version: 2, tree: {}} | 400 | bad_request | Two expected versions |
      | PUT    | /settings?expected_version=x          | {change_id: a, tree: {}} | 400 | bad_request   | is not a number        |
      | PUT    | /settings?expected_version=1          | {change_id: a/b, tree: {}} | 400 | bad_request | Change change_id       |
      | PUT    | /settings?expected_version=1          | {change_id: a, tree: {}} | 422 | invalid_settings | at least one service |
      | PUT    | /settings?expected_version=1          | {change_id: a, tree: {services: {s: {wieght: 1.0}}}} | 422 | invalid_settings | Did you mean 'weight' |

  Scenario: A change is put in force as canonical JSON, and tells who has it
    Given an administration over a control plane
    And a router of the control plane that still serves under version 1
    When the administration is asked to change version 1 to a weight of 3
    Then the administration answers 200 with "version" as 2
    And the administration answers 200 with "routers_total" as 2
    And the administration answers 200 with "routers_in_force" as 1
    And the administration answers 200 with "is_everywhere" as false
    And the control plane holds the tree {"defaults":{},"groups":{},"services":{"shop":{"groups":{},"keys":{},"weight":3.0}}}

  Scenario: The second of two operators is refused with the difference
    Given an administration over a control plane
    When the administration is asked to change version 1 to a weight of 3
    And the administration is asked to change version 1 to a weight of 4
    Then the administration answers 409 of kind "settings_conflict" naming "Merge"
    And the administration answers 409 with "current_version" as 2
    And the administration answers 409 with "difference" as [{"path": "services.shop.weight", "old": 3.0, "new": 4.0}]

  Scenario Outline: Failures of the store say what may have taken effect
    Given an administration over a control plane
    And a control plane whose next change fails as "<failure>"
    When the administration is asked to change version 1 to a weight of 3
    Then the administration answers <status> of kind "<kind>" naming "<text>"
    And the administration asks to come back after <seconds> s

    Examples:
      | failure                    | status | kind                       | text | seconds |
      | store down                 | 503    | settings_store_unavailable | Wait | 2.5     |
      | lost before it took effect | 504    | settings_outcome_unknown   | Ask  | 1.0     |

  Scenario: A server is drained
    Given an administration over a control plane
    When the administration is asked "POST" "/servers/shop-2/drain" with ""
    Then the administration answers 200 with "server" as "shop-2"
    And the control plane drains "shop-2"

  Scenario: The difference of two trees lists every field by its path
    Then the difference of settings lists added, removed and changed fields

  Scenario: Over HTTP, If-Match is the expected version
    Given an administration over a control plane
    And its HTTP server
    When the HTTP administration is asked to change with If-Match "1"
    Then the HTTP administration answers 200
    When the HTTP administration is asked to change with If-Match "1"
    Then the HTTP administration answers 409

  Scenario: Over HTTP, a store outage carries Retry-After in whole seconds
    Given an administration over a control plane
    And a control plane whose next change fails as "store down"
    And its HTTP server
    When the HTTP administration is asked to change with If-Match "1"
    Then the HTTP administration answers 503
    And the HTTP administration has the header "Retry-After" as "3"

  Scenario Outline: Health over HTTP
    Given an administration over a control plane
    And its HTTP server
    And its health is "<reason>"
    When the HTTP administration gets "/health"
    Then the HTTP administration answers <status>

    Examples:
      | reason                   | status |
      | serving                  | 200    |
      | The process is stopping. | 503    |

  Scenario: Metrics over HTTP
    Given an administration over a control plane
    And its HTTP server
    When the HTTP administration gets "/metrics"
    Then the HTTP administration answers 200
    And the HTTP administration body contains "admin_test_total 5.0"
