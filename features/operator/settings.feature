Feature: Settings are checked as a whole before any port opens

  Guards against a daemon that reports one wrong setting at each start, or that opens
  ports before all its settings are checked.

  Scenario: All wrong values of an entry's settings are reported at once
    Given a settings file
      """
      {
        "node": "Entry 1", "zone": "zilina-a", "secret": "short",
        "admin_token": "0123456789abcdef", "store": [], "host": "localhost",
        "http_port": 7000, "admin_port": 7000,
        "seeds": ["entry-2:7000", "10.0.0.1:99999"],
        "timing": {"ping": 2, "gosip": 1}, "routing": "best", "log_level": "LOUD"
      }
      """
    When "wagtailcleat.entry.app" is started with it
    Then it ends with 78 and has opened nothing
    And these lines are printed, each after the file's name
      | line                                                                  |
      | $.node: 'Entry 1' is not a name of a-z, 0-9 and -, at most 63 characters |
      | $.secret: Expected `str` of length >= 16                              |
      | $.timing.gosip: unknown key; did you mean 'gossip'?                   |
      | $.routing: Invalid enum value 'best'                                  |
      | $.log_level: Invalid enum value 'LOUD'                                |
      | $.store: name at least one address of the store                       |
      | $.host: 'localhost' is no IP number                                   |
      | $.seeds[0]: 'entry-2' is no IP number                                 |
      | $.seeds[1]: 99999 is no port                                          |
      | $: port 7000 stands 2 times among peer_port, http_port, admin_port    |
      | $.timing.ping: 2 is longer than silence, 0.75                         |

  Scenario: All wrong values of an agent's settings are reported at once
    Given a settings file
      """
      {
        "node": "agent-1", "vm": "vm-1", "zone": "zilina-a",
        "secret": "0123456789abcdef", "store": ["http://10.0.0.9:2379"],
        "worker": "10.0.0.1:7001", "host": "0.0.0.0", "shards": 0,
        "endpoints_by_service": {"Booking": "http://10.0.0.1:8080", "a": "8080"}
      }
      """
    When "wagtailcleat.agent.app" is started with it
    Then it ends with 78 and has opened nothing
    And these lines are printed, each after the file's name
      | line                                                                        |
      | $.worker: '10.0.0.1:7001' is not an address like http://10.0.0.1:7001 |
      | $.shards: Expected `int` >= 1                                               |
      | $.endpoints_by_service key 'Booking': 'Booking' is not a name of a-z, 0-9 and -, at most 63 characters |
      | $.endpoints_by_service.a: '8080' is not an address like http://10.0.0.1:7001 |
      | $.host: others call this process there: give its own address                |

  Scenario: A port in use is reported in one line
    # Guards against a traceback when another process uses the port.
    Given a settings file whose callers' port is taken
    When "wagtailcleat.entry.app" is started with it
    Then it ends with 71 and has opened nothing
    And it prints "another process may use the port"

  Scenario: Valid settings pass the check
    # Guards against a check that refuses valid settings or opens ports.
    Given a settings file
      """
      {
        "node": "entry-1", "zone": "zilina-a", "secret": "0123456789abcdef",
        "admin_token": "0123456789abcdef", "store": ["http://10.0.0.9:2379"]
      }
      """
    When "wagtailcleat.entry.app" is started with it and --check
    Then it ends with 0 and has opened nothing

  Scenario: An entry on the platform has hosts that are names
    # Guards against processes that start and never reach each other, without a word.
    Given a settings file
      """
      {
        "node": "entry-1", "zone": "zilina-a", "secret": "0123456789abcdef",
        "host": "entry-1.example", "advertised_host": "localhost", "peer_port": 7000,
        "metrics_port": 7001, "store": "10.0.0.9:2379", "front": "10.0.0.1:80",
        "ready": "10.0.0.1:81", "seeds": ["10.0.0.1:7000", "entry-2:7000"]
      }
      """
    When "wagtailcleat.cluster.entry_app" of the platform is started with it
    Then it ends with 78 and has opened nothing
    And these lines are printed, each after the file's name
      | line                                           |
      | $.host: 'entry-1.example' is no IP number      |
      | $.advertised_host: 'localhost' is no IP number |
      | $.seeds[1]: 'entry-2' is no IP number          |
