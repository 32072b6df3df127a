Feature: Whole sessions go as recorded: jobs and refusals

  Scenario: From submitting a job to its account
    Given a shell at a deployment of two entries and two agents in two availability zones
    And its folder has "rules.json"
      """
      {"teams": [{"name": "travel-desk", "cores": 40, "memory_mb": 8000}]}
      """
    And its folder has "ledger.json"
      """
      {"command": "sleep:0.2", "cores": 1, "memory_mb": 100, "tasks": 3, "deadline": 4102444800}
      """
    When the session "submit-to-account.txt" is run
    Then it goes as recorded

  Scenario: Refused requests and jobs
    Given a shell at a deployment of two entries and two agents in two availability zones
    And its folder has "rules.json"
      """
      {"teams": [{"name": "travel-desk", "cores": 40, "memory_mb": 8000}]}
      """
    When the session "refused.txt" is run
    Then it goes as recorded
