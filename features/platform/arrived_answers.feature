Feature: Answers that arrive while a process stands still

  Scenario Outline: An answer arrives while the process stands still beyond the time limit
    # Guards against a 503 or 504 to a caller whose call has been answered in time.
    When <call> is answered while its process stands still until after the time limit
    Then that call returns the answer

    Examples:
      | call                     |
      | a call of a worker       |
      | a call of the store      |
      | a request to an endpoint |

  Scenario Outline: A list of runs is read <seconds> s after it was made
    # Guards against runs that count as going on, and leases that are cut short, by an old list.
    When a list of runs is answered, and its process stands still for <seconds> s
    Then that list <outcome>

    Examples:
      | seconds | outcome        |
      | 0.1     | is read        |
      | 2       | counts as lost |

  Scenario Outline: A download arrives while its process is stopped beyond the time limit
    # Guards against reads of the cluster's store, such as the leader's keys, that count as lost.
    When a download of <size> bytes arrives while its process is stopped
    Then that download has <size> bytes

    Examples:
      | size    |
      | 100     |
      | 1000000 |

  Scenario: A download stops halfway
    # Guards against reads that wait beyond the limit of a silence.
    When a download of 1000000 bytes breaks off after 1000 bytes
    Then that download is lost after 1 s to 2 s

  Scenario: An answer of a peer arrives while the process stands still
    # Guards against answers of the leader or an agent that count as lost, and their calls as unknown.
    When a peer answers a call while the calling process stands still beyond its time limit
    Then the peer's answer is returned

  Scenario: A peer stays silent
    # Guards against calls that wait for a peer beyond their time limit.
    When a peer leaves a call with a time limit of 1 s unanswered
    Then that call is lost after 1 s to 2 s

  Scenario Outline: A server stays silent
    # Guards against calls, and their connections, that are held beyond the time limit.
    When <call> is made of a silent server with a time limit of 1 s
    Then that call has no answer after 1 s to 2 s
    And its connection has ended by then

    Examples:
      | call                     |
      | a call of a worker       |
      | a call of the store      |
      | a request to an endpoint |
