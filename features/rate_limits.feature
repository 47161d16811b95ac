Feature: Replicas with a rate limit

  Scenario: the rate limit of one of two model replicas is kept and all requests are served
    Given a users' fleet of 0 service replicas, 2 engines and 3 gateway
    When the replica that served a request sets a rate limit of "1.5" requests a second
    And callers send 20 drafts a second for 8000 ms, to each gateway in turn
    Then no replica got more requests in any 4 s than its rate limit allows
    And every answer is whole

  Scenario: the rate limit of one of two service replicas is kept and all requests are served
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    When the replica that served a request sets a rate limit of "1.5" requests a second
    And callers send 20 orders a second for 8000 ms, to each gateway in turn
    Then no replica got more requests in any 4 s than its rate limit allows
    And every answer is whole

  Scenario: rate limits of all service replicas are kept and used, and refusals have a Retry-After
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    When all replicas set a rate limit of "2" requests a second
    And callers send 15 orders a second for 9000 ms, to each gateway in turn
    Then no replica got more requests in any 4 s than its rate limit allows
    And each replica got at least 11 requests
    And each refusal has a Retry-After

  Scenario: the rate limit of the only replica that has a model is kept and used
    Given a users' fleet of 0 service replicas, 1 engines and 3 gateway
    When all replicas set a rate limit of "2" requests a second
    And callers send 15 drafts a second for 9000 ms, to each gateway in turn
    Then no replica got more requests in any 4 s than its rate limit allows
    And each replica got at least 11 requests
    And each refusal has a Retry-After

  Scenario Outline: rate limits of all replicas are kept while <process>
    Given a users' fleet of 1 service replicas, 1 engines and 3 gateway
    When all replicas set a rate limit of "1.6" requests a second
    And callers send 10 orders and drafts a second for 12000 ms while <process>
    Then no replica got more requests in any 4 s than its rate limit allows
    And each replica got at least 4 requests

    Examples:
      | process                                      |
      | the planner's gateway is stopped and started |
      | another gateway is stopped and started       |
      | the planner's gateway is killed and started  |
      | the planner's gateway stands still for 4 s   |
      | the stewards are killed                      |
      | the store is away                            |

  Scenario: a gateway keeps a rate limit that it knows only from other gateways
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    And a gateway holds the planner role
    When all replicas set a rate limit of "1" requests a second
    And a caller sends 1 orders
    And 300 ms pass
    And 20 callers send an order at once to the second gateway
    Then each replica got at most 4 requests

  Scenario Outline: a replica with a rate limit of "<limit>" gets <least> to <most> requests
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When all replicas set a rate limit of "<limit>" requests a second
    And callers send 10 orders a second for 4000 ms, to each gateway in turn
    Then each replica got at least <least> requests
    And each replica got at most <most> requests

    Examples:
      | limit      | least | most |
      | 0          | 1     | 4    |
      | 0.05       | 1     | 4    |
      | 1.5        | 3     | 11   |
      | 1.5; 9     | 3     | 11   |
      | 9; 1.5     | 3     | 11   |
      | 1000000000 | 35    | 45   |
      | -3         | 35    | 45   |
      | soon       | 35    | 45   |
      | 1e1        | 35    | 45   |

  Scenario: a lowered rate limit is kept
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When all replicas set a rate limit of "8" requests a second
    And callers send 15 orders a second for 3000 ms, to each gateway in turn
    And all replicas set a rate limit of "1" requests a second
    And callers send 15 orders a second for 6000 ms, to each gateway in turn
    Then no replica got more requests in any 4 s than its rate limit allows

  Scenario: a replica that lifts its rate limit gets all requests
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When all replicas set a rate limit of "1" requests a second
    And callers send 10 orders a second for 3000 ms, to each gateway in turn
    And all replicas lift their rate limit
    And callers send 10 orders a second for 3000 ms, to each gateway in turn
    Then the last 10 responses are complete

  Scenario: a rate limit ends with a restart of its replica
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When all replicas set a rate limit of "0.05" requests a second
    And callers send 10 orders a second for 1000 ms, to each gateway in turn
    And the first replica restarts with the same id
    And callers send 10 orders a second for 1000 ms, to each gateway in turn
    Then the last 10 responses are complete

  Scenario: any number of gateways keep rate limits while permit issuers come and go
    Then in 400 random series no 4 s have more requests than a rate limit allows

  Scenario: any number of gateways with one permit issuer use at least half of a rate limit
    Then in 200 random series at least half of the requests that a rate limit allows are sent
