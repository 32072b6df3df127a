Feature: A call that is carried out late never makes a task run twice

  Guards against duplicate runs of a task, and starts after its end was acknowledged,
  when a worker carries out a call seconds after its agent stopped waiting for the
  answer. Meanwhile the agent and the leader draw conclusions from silence, lists and
  reports. The model has two agents with their workers, one leader at a time, and calls
  in transit; a breadth-first search visits its states.

  Scenario Outline: Without the rule <rule> the invariant breaks in "<world>"
    # Guards against a model too coarse to show why a rule of the protocol is needed.
    When the world "<world>" is explored without the rules <rule>
    Then a history that breaks the invariant is found and printed

    Examples: rules that safety depends on alone
      | rule                | world                                 |
      | START_EXPIRES       | late start                            |
      | LIST_EXPIRES        | late list                             |
      | FENCE_RAISED        | late start, agents report             |
      | LISTED_AS_SENT      | late start, slow lists                |
      | FENCE               | slow start, agent restarts            |
      | LATER_LIST          | late start, slow lists                |
      | FIRST_RENEWS        | late start, agent restarts            |
      | LEASES_LAPSE        | late start, agents report             |
      | PORT_CLOSED         | late start, closed port               |
      | LEAVE_IS_NO_END     | leave                                 |
      | LEAVE_IS_NO_END     | late start, leave                     |
      | DOUBT_OUTLIVES_PORT | late start, closed port, id is reused |
      | BOOT_NAMED          | late start, worker restarts           |
      | BOOT_NAMED          | end, worker restarts, one worker      |
      | SINGLE_COPY         | repeated start                        |
      | BOOT_LISTED         | slow start, closed port, id is reused |
      | ACKNOWLEDGE_SETTLED | end                                   |
      | ACKNOWLEDGE_HEARD   | end, leader changes                   |

    Examples: rules of which one suffices
      | rule                          | world                                   |
      | RESENT_EXPIRES and TIME_LIMIT | overtaken start                         |
      | RESENT_EXPIRES and TIME_LIMIT | end, overtaken start                    |
      | BOOT_NAMED and BOOT_CONFIRMED | late start, worker restarts, one worker |

  Scenario Outline: With the rules of the code the invariant holds in "<world>"
    # Guards against duplicate runs that the rules of the protocol leave possible.
    When the world "<world>" is explored with the rules of the code
    Then all its states were visited and the invariant holds

    Examples: worlds small enough to explore fully in CI
      | world                                   |
      | late start                              |
      | late start, agents report               |
      | late start, lease from its arrival      |
      | late start, slow lists                  |
      | late start, hedged lists                |
      | late start, agent restarts              |
      | slow start, agent restarts              |
      | late start, worker restarts             |
      | late start, worker restarts, one worker |
      | end, worker restarts, one worker        |
      | late start, leader changes              |
      | leave                                   |
      | leave, leader changes                   |
      | late start, leave                       |
      | late start, closed port                 |
      | late start, closed port, id is reused   |
      | slow start, closed port, id is reused   |
      | late start and list, one worker         |
      | late start, three runs                  |
      | late start, restarts, one worker        |
      | late list                               |
      | overtaken start                         |
      | overtaken start, leader changes         |
      | overtaken start, one worker             |
      | repeated start                          |
      | end                                     |
      | end, leader changes                     |
      | end, agent restarts                     |
      | end, overtaken start                    |

  Scenario Outline: Without <rules> the invariant holds in "<world>" all the same
    # Guards against claims that safety depends on a rule which the others make needless.
    When the world "<world>" is explored without the rules <rules>
    Then all its states were visited and the invariant holds

    Examples: stops, second sendings, and the tokens of two copies of a start
      | rules                                     | world                       |
      | STOP_CLOSES and REVOKED and ONE_AT_WORKER | late start, three runs      |
      | STOP_CLOSES and REVOKED and ONE_AT_WORKER | overtaken start             |
      | STOP_CLOSES and REVOKED and ONE_AT_WORKER | end, overtaken start        |
      | LAPSE_RAISES                              | overtaken start             |
      | TIME_LIMIT                                | overtaken start             |
      | TIME_LIMIT                                | end, overtaken start        |
      | RESENT_EXPIRES                            | overtaken start             |
      | RESENT_EXPIRES                            | end, overtaken start        |
      | SINGLE_COPY                               | overtaken start, two copies |

    Examples: a worker that restarts under its id, where the task starts at no other one
      | rules      | world                                   |
      | BOOT_NAMED | late start, worker restarts, one worker |

  Scenario Outline: With <added> the invariant holds without <removed> in "<world>"
    # Guards against proposals that do not replace the rule they are meant to replace.
    When the world "<world>" is explored with <added> but without <removed>
    Then all its states were visited and the invariant holds

    Examples: worlds in which no agent is given up
      | added                                | removed       | world                              |
      | DOUBT_UNTIL_FENCED and LISTED_RENEWS | START_EXPIRES | late start, agents report          |
      | DOUBT_UNTIL_FENCED and LISTED_RENEWS | START_EXPIRES | late start, lease from its arrival |

  Scenario Outline: With <added> alone the invariant breaks without START_EXPIRES
    # Guards against proposals that need each other and are taken for sufficient alone.
    When the world "<world>" is explored with <added> but without START_EXPIRES
    Then a history that breaks the invariant is found and printed

    Examples:
      | added              | world                     |
      | DOUBT_UNTIL_FENCED | late start, agents report |
      | LISTED_RENEWS      | late start, agents report |
