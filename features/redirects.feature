Feature: Paid requests redirected between replicas

  Scenario: redirects use no retry budget, so no paid request fails because of them
    Given a fleet of 2 engines, 0 services and 1 entries with 2 slots
    When 30 callers ask for 20 tokens 2 times
    Then every response is complete and belongs to its caller
    And entries counted "retries" for "redirected"
