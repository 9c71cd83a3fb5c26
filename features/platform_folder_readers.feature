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

  Scenario: A configuration as the platform writes it
    Then the platform folder reads routes, services and limits of a configuration

  Scenario: A configuration that cannot be read gives an error with a remedy
    Then the platform folder refuses each unreadable configuration with a remedy

  Scenario: A server entry as the platform writes it
    Then the platform folder reads a server entry, and passes over unreadable ones
