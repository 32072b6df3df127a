Feature: Heartbeats of another writer

  Scenario Outline: A heartbeat whose <field> is <value>
    # Guards against an agent that takes such a writer for its worker, or fails later.
    Then a heartbeat whose "<field>" is <value> is invalid

    Examples: addresses
      | field | value                    |
      | addr  | "10.1.0.9"               |
      | addr  | "10.1.0.9:"              |
      | addr  | "10.1.0.9:http"          |
      | addr  | "10.1.0.9:99999"         |
      | addr  | "10.1.0.9:0"             |
      | addr  | "10.1.0.9:-1"            |
      | addr  | "10.1.0.9:٣"             |
      | addr  | "10.1.0.9:8080/x"        |
      | addr  | ":8080"                  |
      | addr  | "a b:8080"               |
      | addr  | 8080                     |
      | addr  | null                     |

    Examples: other fields
      | field      | value                |
      | service    | ""                   |
      | service    | 7                    |
      | service    | null                 |
      | zone       | ""                   |
      | zone       | ["z"]                |
      | state      | "asleep"             |
      | state      | null                 |
      | born       | true                 |
      | born       | 1.5                  |
      | born       | -1                   |
      | born       | 9007199254740992     |
      | born       | 1e400                |
      | born       | NaN                  |
      | seq        | null                 |
      | seq        | "4"                  |
      | labels     | [1]                  |
      | labels     | "a"                  |
      | capacity   | 16000                |
      | capacity   | {"cpu": 1e300}       |
      | capacity   | {"cpu": true}        |
      | capacity   | {"memMb": 1e9}       |
      | capacity   | {"gpu": 99999999999} |
      | coldLeftMs | NaN                  |
      | coldLeftMs | Infinity             |

  Scenario: Heartbeats with fields of any type
    # Guards against values that nobody has thought of.
    Then of 3000 heartbeats with any values each is invalid, or within all bounds

  Scenario: Another writer sends odd heartbeats to an agent each moment
    # Guards against a worker that is displaced, and against a log line for each of them.
    Given a deployment of 1 entry and 1 agent
    When 200 odd heartbeats are sent to the agent
    Then each of them is answered 400
    And the agent has counted all of them, and logged at most 5
    And a job submitted afterwards is done within 6 s

  Scenario: An odd heartbeat is the first that an agent hears
    # Guards against an agent that keeps a writer for its worker that never answers.
    Given a deployment of 1 entry and 1 agent
    When the agent restarts, and 200 odd heartbeats are sent to it as it starts
    Then a job submitted afterwards is done within 8 s

  Scenario: A worker of a service that no queue names
    # Guards against work at a worker that is not meant for any queue.
    Given a leader with a worker of an unknown service, and another worker
    When 4 jobs are stored, and the agents report
    Then all of them run at the other worker

  Scenario: Another writer sends leaves of the agent's worker that can't be read
    # Guards against a worker that gets no work any more because somebody has sent its id.
    Given a deployment of 1 entry and 1 agent
    When 8 odd leaves of its worker are sent to the agent
    Then each of them is answered 400
    And the agent has counted all of them, and logged at most 5
    And a job submitted afterwards is done within 6 s

  Scenario: Bodies of any size are announced at each port
    # Guards against a process that buffers bodies until its memory is used up.
    Given a deployment of 1 entry and 1 agent
    When a body of 90000000 bytes is announced at each port for HTTP
    Then each of these ports refuses it within 2 s, without having read it
    And a job submitted afterwards is done within 6 s
