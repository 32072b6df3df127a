Feature: The leader's work for one job in one turn of its event loop

  Scenario Outline: A job of twice as many tasks <what>
    # Guards against a leader that stands still because work grows with the square of a job's tasks.
    Given a job of 150 tasks, and another of 300, each of which <what>
    Then no turn of the leader takes more than 3 times as many calls for the larger one

    Examples:
      | what                                    |
      | succeeds                                |
      | is cancelled while all its tasks run    |
      | fails while all its tasks run           |
      | is a gang that succeeds                 |
      | is a gang that ends as one member fails |
      | is a gang without room                  |
      | fills idle cores                        |
      | serves                                  |
      | has a limit for each VM                 |
      | has a step of 10 edges for each task    |
      | is stored as one job for each task      |

  Scenario Outline: <what> of twice as many tasks on twice as many VMs
    # Guards against a leader that stands still because it looks at each VM for each task.
    Given <what> of 150 tasks on 10 VMs, and another of 300 on 20
    Then no turn of the leader takes more than 3 times as many calls for the larger one

    Examples:
      | what                |
      | a job               |
      | a gang              |
      | a gang without room |

  Scenario Outline: A schedule with <count> overdue occurrences costs as much as one with 1000
    # Guards against a leader that stands still, or runs out of memory, because of one schedule far overdue.
    Given a schedule with 1000 overdue occurrences, and another with <count>
    When each is submitted, runs for 4 rounds, and is restored by the next leader
    Then no turn of the leader takes more than 1.2 times as many calls for the longer one
    And it takes no more than 2 times as much memory

    Examples:
      | count   |
      | 100000  |
      | 1000000 |

  Scenario Outline: A step of 4000 tasks that <what> is placed over several rounds
    # Guards against reports that wait, and agents that give the leader up, while one large step is placed.
    Given 24 VMs of 32 cores
    When a job of 4000 tasks that <what> is submitted
    Then no round starts more than 400 of them, and all run after 15 rounds

    Examples:
      | what                   |
      | neither serve nor fill |
      | serve                  |
      | fill                   |
