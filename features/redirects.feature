Feature: Paid work passed on between replicas

  Scenario: redirects need no retry token, so no paid request is lost to them
    Given a fleet of 2 engines, 0 services and 1 entries with 2 slots
    When 30 callers ask for 20 tokens 2 times
    Then every answer is whole and the caller's own
    And entries counted "retries" for "redirected"
