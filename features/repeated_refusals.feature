Feature: Refusals that a replica writes again

  # A caller was told that its request had not run, though a replica was running it.
  Scenario Outline: an earlier refusal written again, <how>, is not taken as the response to a request that runs
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the replica refuses the first request of a connection, and again before the second response, <how>
    When callers send 2 orders, one after the other
    Then the second order has run once, and its caller is not told otherwise
    And the replica gets the next order at once

    Examples:
      | how           |
      | with its id   |
      | without an id |
      | with a pause  |
