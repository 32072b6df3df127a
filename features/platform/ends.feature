Feature: The log tells why a job has ended, and what a 410 rests on

  Scenario Outline: A job ends
    # Guards against jobs shown as failed or cancelled with no trace of the cause.
    Given a leader with 2 agents and a job of 1 task with 2 attempts
    When <what>
    Then the log says that the job is "<state>", because "<why>"
    And it is counted as "<state>"

    Examples:
      | what                                 | state     | why                                           |
      | its runs fail                        | failed    | runs 1048577, 1048578 of task 0/0/0 have failed |
      | its run succeeds                     | succeeded | all tasks have succeeded                      |
      | a call cancels it                    | cancelled | by a call                                     |
      | its cancellation is found in the store | cancelled | in the store at revision                      |

  Scenario: A caller asks for a job that does not exist
    # Guards against a 410 of which nobody can tell what it rests on.
    Given an entry whose leader gives no answer within 0.01 s
    And a store without the job, which answers after 0.01 s and loses 0 reads
    When a caller asks for the state and waits for 3 s
    Then the answer rests on "leader: no answer (no answer in time); not stored at revision 9"
