Feature: The operators' pages are true

  Scenario: Each setting stands on the operations page with its default
    Then the settings of "wagtailcleat-entry", "wagtailcleat-agent" and their timing stand in docs/OPERATIONS.md

  Scenario: Each warning of the log is explained on the operations page
    Then each warning, error and crash that the code logs stands in docs/OPERATIONS.md

  Scenario: Each exit code of the command line stands on the administration page
    Then each exit code stands in docs/ADMIN.md

  Scenario: The examples pass the programs' own checks
    Then the example inventory and rules have no problem
    And the example settings of both programs have no problem
