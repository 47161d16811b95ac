Feature: The store comes back from a copy some seconds old

  Scenario Outline: a configuration and the routes of the copy <again>
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When the store is copied
    And a configuration adds the route "added"
    And the store comes back from the copy, and the operator's writes follow <again>
    Then the route "added" was served all the while
    And a configuration of the same number that adds the route "other" is in force within 2000 ms

    Examples:
      | again         |
      | 100 ms later  |
      | 2500 ms later |

  Scenario: a change whose revision was given out before
    Given a users' fleet of 2 service replicas, 0 engines and 2 gateway
    When the store is copied
    And the replicas' entries change 2 times
    And the store comes back from the copy, in which the first replica drains, with more revisions than before
    And a caller sends 10 orders
    Then none of them reached the first replica

  Scenario: a replica that has left is in the copy
    Given a users' fleet of 2 service replicas, 0 engines and 2 gateway
    When the store is copied
    And the first replica is taken off the list
    And the store comes back from the copy, and the second replica's writes follow 300 ms later
    And a caller sends 20 orders to each gateway
    Then none of them reached the first replica

  Scenario Outline: a model is placed after <times> returns from a copy
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When the store is copied
    And the planner's gateway is killed and starts again
    And the store comes back from the copy <times> times within 600 ms, and all others' writes follow
    And 4000 ms pass
    And a caller sends a patient draft for the model "rare"
    Then every answer is whole
    And one gateway plans, with a term above all before

    Examples:
      | times |
      | 1     |
      | 2     |

  Scenario: order numbers of a steward that starts again after a return from a copy
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When the store is copied
    And the first steward is killed and starts again
    And a caller sends a draft for each of 2 adapters in turn
    And the store comes back from the copy 1 times within 300 ms, and all others' writes follow
    And the first steward is killed and starts again
    And a caller sends a draft for each of 3 adapters in turn
    Then every order had a larger fence than the one before

  Scenario: what is known of a crashing request outlives a return from a copy
    Given a users' fleet of 6 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica
    When the store is copied
    And a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    And the store comes back from the copy 1 times within 300 ms, and all others' writes follow
    And both gateways are killed and start again
    And a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    Then the request has ended at most 2 replicas

  Scenario: any series of starts, copies and returns
    Then in 500 drawn series each order has a larger number than all before it
