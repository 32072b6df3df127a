Feature: Bad input at the operators' port and in files

  Scenario: 10,000 fuzzed messages at the operators' port
    Operators lose an entry, or the configuration, because a scanner or a broken script
    sends rubbish to the operators' port, some of it with the right token.
    Given the feature's small deployment with short bounds for slow callers
    When 10000 fuzzed requests are sent to the operators' port
    Then each was answered as HTTP says, or its connection closed, and none as "internal"
    And the good requests made meanwhile were all answered 200
    And the processes are the same, grown by less than 60 MB, with no error logged
    And the configuration in force is still revision 1

  Scenario: 10,000 fuzzed inventories, rules, settings and jobs
    A program crashes on a file that an editor has broken, or takes half of it, and says
    a traceback in place of what to mend.
    When 10000 fuzzed documents are read as what they were before
    Then each was taken whole or refused with problems that name a path
