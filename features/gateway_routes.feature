Feature: Routes, split and versions of a gateway's configuration

  Scenario: The longest prefix of the host decides
    Given gateway routes
      | name  | host      | prefix   |
      | all   | a.example | /        |
      | deep  | a.example | /x/y/    |
      | x     | a.example | /x/      |
      | other | b.example | /x/y/z/  |
    Then these gateway paths find these routes
      | host      | path      | route |
      | a.example | /         | all   |
      | a.example | /x        | all   |
      | a.example | /x/       | x     |
      | a.example | /x/q/y/   | x     |
      | a.example | /x/y/z/1  | deep  |
      | A.Example | /x/y/     | deep  |
      | b.example | /x/y/z/1  | other |
      | b.example | /x/y/     | none  |
      | c.example | /x/y/     | none  |

  Scenario: A gateway routes by host and path, and knows neither otherwise
    Given a gateway
    And gateway server "a" that answers
    When gateway callers ask for these
      | host              | target    |
      | shop.example:8080 | /a/?x=/b/ |
      | SHOP.example      | /a/b      |
      | shop.example      | /ab       |
      | shop.example      | /b/a/     |
      | other.example     | /a/b      |
    Then the gateway answers have the statuses 200, 200, 404, 404, 404
    And the gateway servers got 2 requests

  Scenario: Without a configuration a gateway refuses and says when to come back
    Given a gateway without configuration
    When a gateway caller sends 1 request one after the other
    Then the gateway answers have the statuses 503
    And every gateway answer says when to come back

  Scenario: The split keeps to the weights after every request
    Then gateway split: for all weights of two services each share is right within one
    And gateway split: for all weights of several services each share is right over whole rounds
    And gateway split: routes share nothing, and services that come or go begin anew

  Scenario: Versions never go back
    Then gateway configuration: whatever order versions come in, the highest seen is in force
