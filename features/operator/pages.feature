Feature: The operators' pages agree with the code

  Guards against a setting, log sentence or exit code that is added or changed in the
  code only, and against examples that the programs refuse.

  Scenario: The operations page lists each setting with its default
    Then the settings of "wagtailcleat-entry", "wagtailcleat-agent" and their timing are listed in docs/OPERATIONS.md

  Scenario: The operations page explains each warning of the log
    Then each warning, error and crash that the code logs is listed in docs/OPERATIONS.md

  Scenario: The administration page lists each exit code of the command line
    Then each exit code is listed in docs/ADMIN.md

  Scenario: The examples pass the programs' own checks
    Then the example inventory and rules have no problem
    And the example settings of both programs have no problem
