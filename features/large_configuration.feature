Feature: Configurations of the largest size over small links

  Scenario: a change of the largest configuration
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When a configuration of 1000 kB adds the route "added"
    Then the route "added" is in force at every gateway within 3000 ms

  Scenario: changes of a large configuration in a row
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When 5 configurations of 400 kB add a route each, every 800 ms
    Then each of them was in force at every gateway within 3000 ms

  Scenario: gateways that start beside a configuration of the largest size
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 400 bytes a ms
    When a configuration of 1000 kB adds the route "added"
    And all gateways are killed and start again
    Then the route "added" is in force at every gateway within 8000 ms

  Scenario: a replica that drains while the largest configuration is under way
    Given a users' fleet of 2 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When a configuration of 1000 kB adds the route "added"
    And the first replica drains 100 ms later
    Then no order reaches the first replica later than 2000 ms after that

  Scenario: a replica whose entry is removed when connections to the store have just been reset
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway, with links that can be harmed
    When the connections to the store are reset
    And the first replica is taken off the list 50 ms later
    Then no order reaches the first replica later than 2000 ms after that

  Scenario: what the planner's gateway tells the others of the largest configuration
    When a gateway that reads the store for 30 others takes in a configuration of 1000 kB
    Then it has told each of them less than 5 kB

  Scenario: a change when all connections to the store have fallen silent
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When the connections to the store fall silent, and new ones work
    And 3000 ms pass
    And a configuration of 100 kB adds the route "added"
    Then the route "added" is in force at every gateway within 2000 ms

  Scenario: a change when the connections of one gateway to the store have fallen silent
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When the connections of a gateway that does not plan fall silent, and new ones work
    And a configuration of 100 kB adds the route "added"
    Then the route "added" is in force at every gateway within 2000 ms
