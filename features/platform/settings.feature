Feature: Addresses in the settings of the platform's programs

  Scenario Outline: An address of an entry's settings is <address>
    # Guards against an entry that serves another port, or ends as if by a fault of its own.
    When an entry is started with <address> as its <field>
    Then it ends with 78 and reports "$.<field>: <problem>"

    Examples:
      | field  | address         | problem                    |
      | front  | 127.0.0.1:99999 | port 99999 is out of range |
      | front  | localhost:7001  | the host is not numeric    |
      | ready  | 127.0.0.1:0     | port 0 is out of range     |
      | store  | 127.0.0.1:70000 | port 70000 is out of range |
      | advice | 127.0.0.1:65536 | port 65536 is out of range |

  Scenario Outline: The address for heartbeats of an agent's settings is <address>
    # Guards against an agent that listens where no worker sends its heartbeats.
    When an agent is started with <address> as its control
    Then it ends with 78 and reports "$.control: <problem>"

    Examples:
      | address         | problem                    |
      | 127.0.0.1:99999 | port 99999 is out of range |
      | localhost:7001  | the host is not numeric    |
