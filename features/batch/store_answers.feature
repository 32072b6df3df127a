Feature: What the store's error answers say of a write

  Scenario Outline: The store answers a write with code <code> and "<message>"
    # Guards against a write that counts as refused although it may be carried out.
    Given a store that answers writes with status <status>, code <code> and "<message>"
    When a key is written
    Then the write's outcome is <outcome>

    Examples:
      | status | code | message                       | outcome |
      | 499    | 1    | etcdserver: request timed out | unknown |
      | 500    | 2    | etcdserver: request timed out | unknown |
      | 400    | 3    | refused by the store          | refused |
      | 504    | 4    | etcdserver: request timed out | unknown |
      | 404    | 5    | refused by the store          | refused |
      | 403    | 7    | refused by the store          | refused |
      | 429    | 8    | refused by the store          | refused |
      | 400    | 9    | refused by the store          | refused |
      | 409    | 10   | etcdserver: request timed out | unknown |
      | 400    | 11   | refused by the store          | refused |
      | 501    | 12   | refused by the store          | refused |
      | 500    | 13   | etcdserver: request timed out | unknown |
      | 503    | 14   | etcdserver: request timed out | unknown |
      | 503    | 14   | etcdserver: no leader         | refused |
      | 500    | 15   | etcdserver: request timed out | unknown |
      | 401    | 16   | refused by the store          | refused |
      | 503    | none | refused by the store          | unknown |
