Feature: The account of where a played day lost its worth

  Scenario: What is lost is told by class, part and price, and adds up
    # Guards against an account that leaves out a part of the loss.
    Given a report of a day with two classes, of which one lost a quarter of its worth
    Then the account has rows for that class, the worst windows and a price
    And its rows add up to what the day lost

  Scenario: What is lost in a window counts for what happened at the time
    # Guards against losses that are put down to a disturbance long after its end.
    Given a report of a day with a loss of power at 10 s, and a burst from 20 s to 30 s
    And windows at 2, 10, 22 and 40 s that each lost half
    Then each of "no power", "burst" and "no disturbance" lost its share of the windows
