Feature: The demonstration works

  Guards against a change of the programs that breaks the commands a newcomer runs
  first, or a demonstration that leaves processes behind.

  Scenario: It shows a request, a job and a zone out of service, and stops all processes
    When the demonstration is run
    Then it ends with 0 after showing these
      | shown                                                                    |
      | $ wagtailcleat apply --inventory inventory.json --rules rules.json       |
      | "body":"for the Kovac group"                                             |
      | state: finished                                                          |
      | zilina-a is out of service from revision 2 on                            |
      | zilina-a is in service from revision 3 on                                |
      | Everything did what it should; all processes are stopped.                |
    And none of its processes is left
