Feature: Replicas that name the most requests a second that they take

  Scenario: one of two model replicas names a limit
    Given a users' fleet of 0 service replicas, 2 engines and 3 gateway
    When the replica that a request went to names a limit of "1.5" requests a second
    And callers send 20 drafts a second for 8000 ms, to each gateway in turn
    Then no replica got more in any 4 s than its limit allows
    And every answer is whole

  Scenario: one of two service replicas names a limit
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    When the replica that a request went to names a limit of "1.5" requests a second
    And callers send 20 orders a second for 8000 ms, to each gateway in turn
    Then no replica got more in any 4 s than its limit allows
    And every answer is whole

  Scenario: all service replicas name a limit
    Given a users' fleet of 2 service replicas, 0 engines and 3 gateway
    When all replicas name a limit of "2" requests a second
    And callers send 15 orders a second for 9000 ms, to each gateway in turn
    Then no replica got more in any 4 s than its limit allows
    And each replica got 11 requests or more
    And each refusal came with a time to return

  Scenario: the only holder of a model names a limit
    Given a users' fleet of 0 service replicas, 1 engines and 3 gateway
    When all replicas name a limit of "2" requests a second
    And callers send 15 drafts a second for 9000 ms, to each gateway in turn
    Then no replica got more in any 4 s than its limit allows
    And each replica got 11 requests or more
    And each refusal came with a time to return

  Scenario Outline: all replicas name a limit while <process>
    Given a users' fleet of 1 service replicas, 1 engines and 3 gateway
    When all replicas name a limit of "1.6" requests a second
    And callers send 10 orders and drafts a second for 12000 ms while <process>
    Then no replica got more in any 4 s than its limit allows
    And each replica got 4 requests or more

    Examples:
      | process                                      |
      | the planner's gateway is stopped and started |
      | another gateway is stopped and started       |
      | the planner's gateway is killed and started  |
      | the planner's gateway stands still for 4 s   |
      | the stewards are killed                      |
      | the store is away                            |

  Scenario: a gateway that hears of a limit from others only
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    And the planner's role is taken
    When all replicas name a limit of "1" requests a second
    And a caller sends 1 orders
    And 300 ms pass
    And 20 callers send an order at once to the second gateway
    Then each replica got at most 4 requests

  Scenario Outline: a replica names a limit of "<limit>"
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When all replicas name a limit of "<limit>" requests a second
    And callers send 10 orders a second for 4000 ms, to each gateway in turn
    Then each replica got <least> requests or more
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

  Scenario: a limit becomes lower
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When all replicas name a limit of "8" requests a second
    And callers send 15 orders a second for 3000 ms, to each gateway in turn
    And all replicas name a limit of "1" requests a second
    And callers send 15 orders a second for 6000 ms, to each gateway in turn
    Then no replica got more in any 4 s than its limit allows

  Scenario: a replica is in need no more
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When all replicas name a limit of "1" requests a second
    And callers send 10 orders a second for 3000 ms, to each gateway in turn
    And all replicas name no limit
    And callers send 10 orders a second for 3000 ms, to each gateway in turn
    Then the last 10 answers are whole

  Scenario: a replica that had named a limit starts again
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When all replicas name a limit of "0.05" requests a second
    And callers send 10 orders a second for 1000 ms, to each gateway in turn
    And the first replica starts again under its id
    And callers send 10 orders a second for 1000 ms, to each gateway in turn
    Then the last 10 answers are whole

  Scenario: any number of gateways, while those that deal permits come and go
    Then in 400 drawn series no 4 s have more requests than a limit allows

  Scenario: any number of gateways that ask one dealer all the while
    Then in 200 drawn series at least half of what a limit allows is sent
