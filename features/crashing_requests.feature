Feature: Requests that crash their replicas

  Scenario: a crashing request retried while the store is unavailable crashes at most 2 replicas
    Given a users' fleet of 6 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica, whose entry stays
    When the store is away
    And a caller sends the order "crash" 6 times, to each gateway in turn, every 1100 ms
    Then the request has crashed at most 2 replicas
    And the last response is a refusal with Retry-After

  Scenario: a crashing request retried after all gateways were killed crashes at most 2 replicas
    Given a users' fleet of 6 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica
    When a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    And both gateways are killed and restarted
    And a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    Then the request has crashed at most 2 replicas

  Scenario: a crashing request retried while the planner's gateway is suspended crashes at most 3 replicas
    Given a users' fleet of 8 service replicas, 0 engines and 3 gateway
    And an order with the body "crash" crashes its replica
    When the planner's gateway is suspended
    And a caller sends the order "crash" 8 times, to each gateway in turn, every 700 ms
    Then the request has crashed at most 3 replicas

  Scenario: a crashing request sent to all gateways at once, repeatedly, crashes at most 6 replicas
    Given a users' fleet of 12 service replicas, 0 engines and 4 gateway
    And an order with the body "crash" crashes its replica after 100 ms
    When 4 callers send the order "crash" at once, one to each gateway
    And 4 callers send the order "crash" at once, one to each gateway
    And 4 callers send the order "crash" at once, one to each gateway
    Then the request has crashed at most 6 replicas

  Scenario: a crashing request whose callers disconnect before the crash crashes at most 2 replicas
    Given a users' fleet of 5 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica after 300 ms
    When a caller sends the order "crash" 5 times and disconnects each time after 150 ms
    Then the request has crashed at most 2 replicas

  Scenario: queued duplicates of a crashing request crash at most 2 replicas
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    And a draft with the body "crash" crashes its engine, which restarts
    When callers send the draft "crash" 5 times at once, each of 60000 tokens
    Then the request has crashed at most 2 replicas

  Scenario: few attempts of a random series of crashing requests reach replicas after the third crash
    Then in 200 random series at most 3 attempts reach a replica later than 3000 ms after the third crash
