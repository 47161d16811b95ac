Feature: Quotas of organisations

  Scenario Outline: a quota is kept and used when <share> of the requests go to one of 3 gateways
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    And an organisation has a quota of 6000 tokens a second
    When its callers send 60 orders of 300 tokens a second for 10000 ms, <share> to the first gateway
    Then no 8 s have more tokens than the quota tolerates
    And at least 0.95 of the quota was used
    And each response is complete or a 429 with a Retry-After
    And the metrics count refusals as "quota_exceeded" and units of credit

    Examples:
      | share |
      | 0.33  |
      | 0.9   |

  Scenario Outline: a quota is kept while <process>
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    And an organisation has a quota of 6000 tokens a second
    When its callers send 60 orders of 300 tokens a second for 14000 ms while <process>
    Then no 8 s have more tokens than the quota tolerates
    And at least <least> of the quota was used

    Examples:
      | process                                      | least |
      | the planner's gateway is killed and started  | 0.6   |
      | the planner's gateway stands still for 4 s   | 0.5   |
      | another gateway is killed and started        | 0.8   |
      | the store is away                            | 0.5   |

  Scenario: requests within the quota are not refused
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    And an organisation has a quota of 6000 tokens a second
    When its callers send 12 orders of 300 tokens a second for 5000 ms, 0.5 to the first gateway
    Then every answer is whole

  Scenario: a lowered quota is kept
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    And an organisation has a quota of 18000 tokens a second
    When its callers send 60 orders of 300 tokens a second for 3000 ms, 0.5 to the first gateway
    And an organisation has a quota of 3000 tokens a second
    And its callers send 60 orders of 300 tokens a second for 8000 ms, 0.5 to the first gateway
    Then no 8 s have more tokens than the quota tolerates
    And each response is complete or a 429 with a Retry-After

  Scenario: a request larger than any credit is refused
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And an organisation has a quota of 1000 tokens a second
    When its callers send 2 orders of 60000 tokens a second for 1000 ms, 1 to the first gateway
    Then each replica got at most 0 requests
    And each response is complete or a 429 with a Retry-After

  Scenario: no series of faults exceeds the tolerance
    Then in 150 random series no 8 s have more units than a quota tolerates

  Scenario Outline: in calm a quota of <rate> units is usable in requests of <units>
    Then in calm at least 0.95 of a quota of <rate> units is used in requests of <units>
    And in calm a gateway with 0.9 of the requests gets at least 0.8 of <rate> units

    Examples:
      | rate   | units |
      | 4200   | 2400  |
      | 20000  | 1000  |
      | 180000 | 1000  |

  Scenario: clumps of requests of a small organisation within its quota are not refused in calm
    Then 3 requests of 2400 at once, each 2 s, are not refused under a quota of 4200 units

  Scenario: credit expires, and is granted from an empty bucket by a new issuer
    Then credit can be used within 300 ms of its request and not later
    And a new issuer has issued at most 0 units by 0 ms
    And a new issuer has issued at most 2100 units by 500 ms
    And a new issuer has issued at most 14044 units by 9000 ms
    And of 2 issuers of which one may have been replaced, both issue at most the rate in sum
