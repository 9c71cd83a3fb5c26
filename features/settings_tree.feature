Feature: Checks and inheritance of the settings tree

  Scenario Outline: A faulty tree is refused with its path and the remedy
    When the settings tree is parsed
      """
      <document>
      """
    Then the settings tree is refused at "<path>" saying "<fault>"
    And the settings remedy says "<remedy>"

    Examples: fields
      | document                                         | path                         | fault                    | remedy                            |
      | {services: {a: {wieght: 2.0}}}                   | services.a.wieght            | unknown field            | Did you mean 'weight'             |
      | {services: {a: {placement: {prefers: x}}}}       | services.a.placement.prefers | unknown field            | Did you mean 'prefer'             |
      | {services: {a: {}}, zzzz: 1}                     | zzzz                         | unknown field            | known fields here: defaults       |
      | {services: {a: {weight: "2"}}}                   | services.a.weight            | valid number             | Change services.a.weight          |
      | {services: {a: {weight: 0}}}                     | services.a.weight            | greater than 0           | Change services.a.weight          |
      | {services: {a: {weight: -1}}}                    | services.a.weight            | greater than 0           | Change services.a.weight          |
      | {services: {a: {weight: .nan}}}                  | services.a.weight            | finite number            | Change services.a.weight          |
      | {services: {a: {weight: true}}}                  | services.a.weight            | valid number             | Change services.a.weight          |
      | {services: {a: {placement: {initial_ranges: 0}}}} | services.a.placement.initial_ranges | greater than or equal to 1 | Change services.a.placement |
      | {services: {a: {placement: {initial_ranges: 4097}}}} | services.a.placement.initial_ranges | less than or equal to 4096 | Change services.a.placement |
      | {services: {a: {repeatable_paths: [stock]}}}     | services.a.repeatable_paths.0 | match pattern           | Change services.a.repeatable_paths |
      | {services: {a: {repeatable_methods: [FETCH]}}}   | services.a.repeatable_methods.0 | 'GET'                 | Change services.a.repeatable_methods |
      | {services: {a: {hop: fast}}}                     | services.a.hop               | 'dispatcher' or 'direct' | Change services.a.hop             |
      | {services: {a: {keys: {12: {}}}}}                | services.a.keys.12           | not a valid name         | Rename or quote                   |
      | {services: {A B: {}}}                            | services.A B                 | not a valid name         | Rename or quote                   |
      | {services: {a: {own_range: true}}}               | services.a.own_range         | unknown field            | known fields here                 |

    Examples: the whole tree
      | document                                         | path                         | fault                    | remedy                            |
      | {groups: {g: {}}}                                | services                     | names no service         | Add at least one service          |
      | {services: {a: {groups: {g: {}}}}}               | services.a.groups.g          | not defined              | Add 'g' under groups              |
      | {services: {a: {keys: {k: {weight: 2.0}}}}}      | services.a.keys.k.weight     | a key has no weight      | set the weight of a group         |
      | {services: {a: {}}, groups: {g: {hop: direct}}}  | groups.g.hop                 | holds for a whole service | Remove groups.g.hop              |
      | {services: {a: {keys: {k: {placement: {}}}}}}    | services.a.keys.k.placement  | holds for a whole service | Remove services.a.keys.k         |
      | {services: {a: {max_queue_delay_s: 10.0}}}       | services.a with group default | is not below request_timeout_s | Lower max_queue_delay_s    |
      | {services: {a: {keys: {k: {request_timeout_s: 0.5}}}}} | services.a.keys.k      | is not below request_timeout_s | Lower max_queue_delay_s    |
      | {services: {a: {}}, groups: {g: {weight: 2000}}} | services.a                   | more than 1000 times     | Raise the weight of 'default'     |

    Examples: the document
      | document                                         | path                         | fault                    | remedy                            |
      | {services: {a: {}, a: {}}}                       | document                     | occurs twice             | Correct the YAML                  |
      | {"services": {"a": {}, "a": {}}}                 | document                     | occurs twice             | Correct the YAML                  |
      | {defaults: &x {}, services: {a: *x}}             | document                     | aliases are not allowed  | Correct the YAML                  |
      | {services: [                                     | document                     | expected                 | Correct the YAML                  |
      | [services]                                       | document                     | a list                   | at the top level                  |
      | # nothing                                        | document                     | empty                    | at the top level                  |

  Scenario: Ranges that own_range may add are summed with the initial ones
    When the settings tree gives 2049 keys of a service with 4096 ranges a range of their own
    Then the settings tree is refused at "services.a" saying "the limit is 8192"
    And the settings remedy says "Take own_range from some keys"

  Scenario Outline: A document that cannot be read is refused
    When the settings tree is parsed from <bytes>
    Then the settings tree is refused at "document" saying "<fault>"

    Examples:
      | bytes                    | fault             |
      | bytes that are not UTF-8 | is not UTF-8      |
      | 5000 nested lists        | nested too deeply |
      | 5 MiB                    | the limit is      |

  Scenario Outline: The nearest level that sets a value wins
    Given the settings tree
      """
      defaults: {weight: 2.0, retry_limit: 1, placement: {prefer: stability}}
      groups: {web: {weight: 3.0, max_queue_length: 7}, idle: {}}
      services:
        plain: {}
        shop:
          retry_limit: 4
          placement: {initial_ranges: 8}
          groups: {web: {weight: 5.0}, default: {weight: 6.0}}
          keys: {hot: {own_range: true, retry_limit: 0}}
      """
    When settings are resolved for "<service>", group "<group>" and key "<key>"
    Then the settings value "<name>" is <value> from "<level>"

    Examples:
      | service | group   | key  | name                     | value        | level                     |
      | plain   |         |      | weight                   | 2.0          | defaults                  |
      | plain   | web     |      | weight                   | 3.0          | groups.web                |
      | plain   | idle    |      | weight                   | 2.0          | defaults                  |
      | plain   | unknown |      | weight                   | 2.0          | defaults                  |
      | plain   |         |      | max_queue_length         | 100          | built-in                  |
      | plain   | web     |      | max_queue_length         | 7            | groups.web                |
      | shop    | web     |      | weight                   | 5.0          | services.shop.groups.web  |
      | shop    |         |      | weight                   | 6.0          | services.shop.groups.default |
      | shop    | unknown |      | weight                   | 6.0          | services.shop.groups.default |
      | shop    | idle    |      | weight                   | 2.0          | defaults                  |
      | shop    | web     |      | retry_limit              | 4            | services.shop             |
      | shop    | web     | hot  | retry_limit              | 0            | services.shop.keys.hot    |
      | shop    | web     | cold | retry_limit              | 4            | services.shop             |
      | shop    |         | hot  | own_range                | true         | services.shop.keys.hot    |
      | shop    |         | cold | own_range                | false        | built-in                  |
      | shop    |         |      | placement.prefer         | "stability"  | defaults                  |
      | shop    |         |      | placement.initial_ranges | 8            | services.shop             |
      | plain   |         |      | placement.initial_ranges | 64           | built-in                  |

  Scenario: An unknown service resolves to nothing
    Given the settings tree
      """
      services: {shop: {}}
      """
    Then settings of "other" resolve to nothing

  Scenario: A concurrency of 0 lifts a limit set above
    Given the settings tree
      """
      defaults: {max_concurrency_per_group: 3}
      services: {a: {}, b: {max_concurrency_per_group: 0}}
      """
    Then the settings of "a" limit a group to 3 requests
    And the settings of "b" limit no group

  Scenario: A key that is not UTF-8 has the settings of its service
    Given the settings tree
      """
      services: {a: {retry_limit: 5, keys: {k: {retry_limit: 1}}}}
      """
    Then settings of "a" resolve for a key that is not UTF-8 with retry limit 5

  Scenario: The canonical form of any tree reads back to itself
    Then the canonical settings of any tree read back to the same bytes

  Scenario: A resolved value is always the nearest one that a level set
    Then settings of any tree resolve to the nearest value set or the built-in one

  Scenario Outline: The sample trees pass the checks
    When the settings sample "<file>" is parsed
    Then the settings sample is accepted with the services "<services>"
    And the settings sample prefers "<preference>" in every service

    Examples:
      | file                   | services                            | preference   |
      | amman.tree.yaml        | catalogue, checkout, scheduler      | availability |
      | fiji-central.tree.yaml | roster-view, shift-desk, visit-ledger | stability  |
