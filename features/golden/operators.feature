Feature: Whole sessions go as recorded: operators

  Scenario: A zone goes out and comes back
    Given a shell at a deployment of two entries and two agents in two availability zones
    And its folder has "rules.json"
      """
      {"teams": [{"name": "travel-desk", "cores": 60, "memory_mb": 8000}]}
      """
    When the session "zone-out-and-in.txt" is run
    Then it goes as recorded

  Scenario: Two operators race
    Given a shell at a deployment of two entries and two agents in two availability zones
    And its folder has "rules.json"
      """
      {"teams": [{"name": "travel-desk", "cores": 40, "memory_mb": 8000}]}
      """
    And its folder has "anna.json"
      """
      {"teams": [{"name": "travel-desk", "cores": 50, "memory_mb": 8000}]}
      """
    And its folder has "boris.json"
      """
      {"teams": [{"name": "travel-desk", "cores": 40, "memory_mb": 8000},
                 {"name": "guides", "cores": 4, "memory_mb": 1000}]}
      """
    And its folder has "both.json"
      """
      {"teams": [{"name": "travel-desk", "cores": 50, "memory_mb": 8000},
                 {"name": "guides", "cores": 4, "memory_mb": 1000}]}
      """
    When the session "operators-race.txt" is run
    Then it goes as recorded

  Scenario: Files with many mistakes are checked
    Given a shell without a deployment
    And its folder has "inventory.json"
      """
      {
        "zones": [{"name": "zilina-a", "region": "zilina"}, {"name": "Zilina B", "region": "zilina"}],
        "vms": [
          {"name": "vm-1", "zone": "zilina-a", "rack": "r-1", "cores": 4, "memory_mb": 2000},
          {"name": "vm-1", "zone": "zilina-c", "rack": "r-1", "coers": 4, "memory_mb": "2000"}
        ],
        "services": [
          {"name": "booking-core", "vms": ["vm-1", "vm-9"], "cores": 8, "memory_mb": 1000}
        ]
      }
      """
    And its folder has "rules.json"
      """
      {"teams": [{"name": "travel-desk", "cores": -1, "memory_mb": 8000},
                 {"name": "travel-desk", "memory_mb": 8000}], "retry_share": 2}
      """
    And its folder has "twice.json"
      """
      {"zones": [], "zones": [{"name": "zilina-a", "region": NaN}]}
      """
    And its folder has "good.json"
      """
      {"zones": [{"name": "zilina-a", "region": "zilina"}]}
      """
    And its folder has "entry.json"
      """
      {"node": "entry-1", "zone": "zilina-a", "secret": "short", "admin_tokn": "0123456789abcdef", "store": []}
      """
    When the session "check.txt" is run
    Then it goes as recorded
