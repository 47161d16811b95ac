Feature: The store is restored from a snapshot some seconds old

  Scenario Outline: added routes stay in force when the store is restored and the operator writes <again>
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    When a snapshot of the store is taken
    And a configuration adds the route "added"
    And the store is restored from the snapshot, and the operator's writes follow <again>
    Then the route "added" was served throughout
    And a configuration with the same version that adds the route "other" is in force within 2000 ms

    Examples:
      | again         |
      | 100 ms later  |
      | 2500 ms later |

  Scenario: a change with a revision that was used before the restore is applied
    Given a users' fleet of 2 service replicas, 0 engines and 2 gateway
    When a snapshot of the store is taken
    And the replicas' entries change 2 times
    And the store is restored from the snapshot, with the first replica draining and more revisions than before
    And a caller sends 10 orders
    Then none of them reached the first replica

  Scenario: a replica that has left but is in the snapshot gets no requests
    Given a users' fleet of 2 service replicas, 0 engines and 2 gateway
    When a snapshot of the store is taken
    And the first replica is taken off the list
    And the store is restored from the snapshot, and the second replica's writes follow 300 ms later
    And a caller sends 20 orders to each gateway
    Then none of them reached the first replica

  Scenario Outline: a model is placed after the store was restored <times> times
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When a snapshot of the store is taken
    And the planner's gateway is killed and restarted
    And the store is restored from the snapshot <times> times within 600 ms, and all other writes follow
    And 4000 ms pass
    And a caller sends a delay-tolerant draft for the model "rare"
    Then every answer is whole
    And one gateway is the planner, with a term larger than all earlier ones

    Examples:
      | times |
      | 1     |
      | 2     |

  Scenario: fencing tokens of a steward that restarts after a restore of the store increase
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a snapshot of the store is taken
    And the first steward is killed and restarted
    And a caller sends a draft for each of 2 adapters in turn
    And the store is restored from the snapshot 1 times within 300 ms, and all other writes follow
    And the first steward is killed and restarted
    And a caller sends a draft for each of 3 adapters in turn
    Then every order of the steward had a larger fencing token than the one before

  Scenario: the record of a crashing request survives a restore of the store
    Given a users' fleet of 6 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica
    When a snapshot of the store is taken
    And a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    And the store is restored from the snapshot 1 times within 300 ms, and all other writes follow
    And both gateways are killed and restarted
    And a caller sends the order "crash" 3 times, to each gateway in turn, every 700 ms
    Then the request has crashed at most 2 replicas

  Scenario: fencing tokens increase in any series of starts, snapshots and restores
    Then in 500 random series each order has a larger fencing token than all earlier ones
