Feature: Bad input at the operators' port and in files

  Scenario: 10,000 fuzzed messages at the operators' port
    Guards against an entry that crashes, or a configuration that is changed, by invalid
    requests of a scanner or a broken script, some of them with the right token.
    Given the feature's small deployment with short bounds for slow callers
    When 10000 fuzzed requests are sent to the operators' port
    Then each was answered as HTTP says, or its connection closed, and none as "internal"
    And the good requests made meanwhile were all answered 200
    And the processes are the same, grown by less than 60 MB, with no error logged
    And the configuration in force is still revision 1

  Scenario: 10,000 fuzzed inventories, rules, settings and jobs
    Guards against a program that crashes on a corrupted file, accepts a part of it, or
    prints a traceback instead of the problems to correct.
    When 10000 fuzzed documents are parsed as their original types
    Then each was accepted as a whole or refused with problems that name a path
