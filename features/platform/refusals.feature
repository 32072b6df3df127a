Feature: A refused submission is not stored, and an accepted one is

  Scenario: Writes and relayed writes fail in all ways, in any order
    # Guards against a refusal as not run of a submission that is stored, or will be:
    # its caller hands it in again, and a charge is made twice.
    Then in 300 random sequences of failures each verdict on a submission is true

  Scenario: Nobody reaches the store
    # Guards against callers that wait until their deadline for a refusal that is certain.
    Given an entry and a leader whose stores answer nothing, on virtual time
    When a submission with 3 s to its deadline comes after 1 s of it
    Then it is refused within 0.1 s

  Scenario: A write gets no answer, and the store stays away
    # Guards against a refusal as not run although the write may be carried out later.
    Given an entry whose first write gets no answer and is carried out after 5 s
    When a submission with 3 s to its deadline comes, and the store answers nothing more
    Then its outcome is unknown, and it is stored in the end

  Scenario: A submission is larger than the values that the store takes
    # Guards against callers that hand a submission in again and again which is never stored.
    Given an entry whose store takes values of 1000 bytes at most
    When a submission with a spec of 1001 bytes comes
    Then it is refused within 0.1 s as too large, with status 413
