Feature: A call that is carried out late never makes a task run twice

  Guards against duplicate runs of a task, and starts after its end was acknowledged,
  when a worker carries out a call seconds after its agent stopped waiting for the
  answer. Meanwhile the agent and the leader draw conclusions from silence, lists, stops
  and reports. The model has two agents with their workers, one leader at a time, and
  calls in transit; a breadth-first search visits its states.

  Scenario Outline: Without the rule <rule> the invariant breaks
    # Guards against a model too coarse to show why a rule of the protocol is needed.
    When the world "<world>" is explored without the rules <rule>
    Then a history that breaks the invariant is found and printed

    Examples: rules that safety depends on alone
      | rule                | world                        |
      | START_EXPIRES       | late start                   |
      | LIST_EXPIRES        | late list                    |
      | STOP_CLOSES         | late start, agents report    |
      | FENCE               | late start, agent restarts   |
      | LATER_LIST          | late start, slow lists       |
      | FIRST_RENEWS        | late start, agent restarts   |
      | LEASES_LAPSE        | late start, agents report    |
      | PORT_CLOSED         | late start, closed port      |
      | BOOT_NAMED          | late start, worker restarts  |
      | SINGLE_COPY         | repeated start               |
      | ACKNOWLEDGE_SETTLED | end                          |
      | ACKNOWLEDGE_HEARD   | end, leader changes          |

    Examples: rules that replace START_EXPIRES while agents report
      | rule                                 | world                     |
      | START_EXPIRES and DOUBT_UNTIL_FENCED | late start, agents report |
      | START_EXPIRES and LISTED_RENEWS      | late start, agents report |

  Scenario Outline: With all rules the invariant holds in the world "<world>"
    # Guards against duplicate runs that the rules of the protocol leave possible.
    When the world "<world>" is explored with all rules
    Then all its states were visited and the invariant holds

    Examples: worlds small enough to explore fully in CI
      | world                              |
      | late start                         |
      | late start, agents report          |
      | late start, lease from its arrival |
      | late start, slow lists             |
      | late start, agent restarts         |
      | late start, worker restarts        |
      | late start, leader changes         |
      | late start, closed port            |
      | late start and list, one worker    |
      | late start, restarts, one worker   |
      | late list                          |
      | repeated start                     |
      | end                                |
      | end, leader changes                |
      | end, agent restarts                |

  Scenario Outline: Starts that never expire do no harm in the world "<world>"
    # Guards against starts in doubt that are settled only because their leases ended.
    When the world "<world>" is explored without the rules START_EXPIRES
    Then all its states were visited and the invariant holds

    Examples: worlds in which no agent is given up
      | world                              |
      | late start, agents report          |
      | late start, lease from its arrival |
