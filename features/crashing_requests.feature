Feature: Requests that crash their replicas

  Scenario: one that comes again while the store is away
    Given a users' fleet of 6 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica, whose entry stays
    When the store is away
    And a caller sends the order "crash" 6 times, to each gateway in turn, every 1100 ms
    Then the request has ended at most 2 replicas
    And the last answer is a refusal with a time to return

  Scenario: one that comes again after all gateways have been killed
    Given a users' fleet of 6 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica
    When a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    And both gateways are killed and start again
    And a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    Then the request has ended at most 2 replicas

  Scenario: one that comes again while the planner's gateway stands still
    Given a users' fleet of 8 service replicas, 0 engines and 3 gateway
    And an order with the body "crash" crashes its replica
    When the planner's gateway stands still
    And a caller sends the order "crash" 8 times, to each gateway in turn, every 700 ms
    Then the request has ended at most 3 replicas

  Scenario: one that comes at all gateways at once, again and again
    Given a users' fleet of 12 service replicas, 0 engines and 4 gateway
    And an order with the body "crash" crashes its replica after 100 ms
    When 4 callers send the order "crash" at once, one to each gateway
    And 4 callers send the order "crash" at once, one to each gateway
    And 4 callers send the order "crash" at once, one to each gateway
    Then the request has ended at most 6 replicas

  Scenario: one whose callers leave before its replica ends
    Given a users' fleet of 5 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica after 300 ms
    When a caller sends the order "crash" 5 times and leaves each time after 150 ms
    Then the request has ended at most 2 replicas

  Scenario: one of which copies wait when it is found out
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    And a draft with the body "crash" crashes its engine, which comes back
    When callers send the draft "crash" 5 times at once, each of 60000 tokens
    Then the request has ended at most 2 replicas

  Scenario: any series of copies at any gateways
    Then in 200 drawn series at most 3 sends reach replicas later than 3000 ms after the third crash
