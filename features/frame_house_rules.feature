Feature: The check of the rules of the repository

  Scenario: A repository that keeps the rules
    Given a frame repository that keeps the rules
    When the frame house check runs
    Then the frame house check passes

  Scenario Outline: A breach is named and fails the check
    Given a frame repository that keeps the rules
    And the frame repository has <breach>
    When the frame house check runs
    Then the frame house check fails and names "<text>"

    Examples:
      | breach                              | text                                  |
      | a file of 301 lines                 | code.py: 301 lines; the limit is 300  |
      | a path of one machine               | page.md:1: path of one machine        |
      | more lines of tests than of product | they stay below the product           |
      | no README.md                        | missing: README.md                    |
      | a scripts/test without the run bit  | no run bit: scripts/test              |
      | a link that leads nowhere           | README.md: link to nothing: gone.md   |
      | a design page that is not listed    | does not name new.md                  |
