Feature: Answers that can't be read

  Scenario Outline: A worker, the store or the advice service answers <body>
    # Guards against a part that crashes, or a write that counts as done, because of one answer.
    Then each call that is answered <body> returns an outcome, none a value from it

    Examples:
      | body                                                             |
      | 100000 nested lists                                              |
      | nothing                                                          |
      | []                                                               |
      | {"items": [[]], "storeRevision": 1}                              |
      | {"items": [1], "storeRevision": 1, "events": [null]}             |
      | {"items": [{"key": "a", "value": "?", "rev": 1}], "storeRevision": 1} |
      | {"key": "a", "value": "a", "rev": 1}                             |
      | {"key": "a", "value": 7, "rev": 1}                               |
      | {"key": "a", "value": "", "rev": 1e999}                          |
      | {"key": "a", "value": "", "rev": true}                           |
      | {"clockMs": 1, "running": [[]]}                                  |
      | {"clockMs": 1, "running": [null]}                                |
      | {"clockMs": 1, "running": [["a.0.0.0", Infinity, "", 0]]}        |
      | {"clockMs": 1, "running": [["a.0.0.0", 1e300, "", 0]]}           |
      | {"clockMs": 1, "running": [["a.0.0.0", 1, "", NaN]]}             |
      | {"clockMs": 1, "running": [["a.0.0.0", true, "", 0]]}            |
      | {"clockMs": 1, "running": [["a.0.0.-1", 1, "", 0]]}              |
      | {"clockMs": 1, "running": [["a.0.0.99999999999999999999", 1, "", 0]]} |
      | {"clockMs": 1, "running": [["a.0.0.0", 1, "\ud800", 0]]}         |
      | {"clockMs": 1, "running": [["\ud800.0.0.0", 1, "", 0]]}          |
      | {"clockMs": 1, "finished": [[1, "a.0.0.0", 1, "asleep", ""]]}    |
      | {"clockMs": 1, "finished": [[1, "a.0.0.0", 1, [], ""]]}          |
      | {"clockMs": 1, "finished": [[1, "a.0.0.0"]]}                     |
      | {"clockMs": NaN}                                                 |
      | {"granted": [1]}                                                 |
      | {"granted": [["a"]]}                                             |
      | {"granted": [["a", "\ud800"]]}                                   |
      | {"granted": [["a", "b"]], "validMs": Infinity}                   |

  Scenario Outline: A worker lists an odd measurement of <value>
    # Guards against runs that count as lost because of a figure that is only a hint.
    Then a list with a measurement of <value> is read, with <measurement> in its place

    Examples:
      | value    | measurement |
      | NaN      | 0           |
      | Infinity | 0           |
      | 1e300    | 0           |
      | -1       | 0           |
      | 1500     | 1.5         |

  Scenario: A worker measures any use of its cores
    # Guards against rounds that end again and again because of one such figure.
    Then a leader learns interference from any measurement that is read
