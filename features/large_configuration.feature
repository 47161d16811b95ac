Feature: Configurations of the largest size over slow links

  Scenario: a change of the largest configuration is in force at every gateway within 3 s
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When a configuration of 1000 kB adds the route "added"
    Then the route "added" is in force at every gateway within 3000 ms

  Scenario: changes of a large configuration in a row are each in force within 3 s
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When 5 configurations of 400 kB add a route each, every 800 ms
    Then each of them was in force at every gateway within 3000 ms

  Scenario: restarted gateways have the largest configuration in force within 8 s
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 400 bytes a ms
    When a configuration of 1000 kB adds the route "added"
    And all gateways are killed and restarted
    Then the route "added" is in force at every gateway within 8000 ms

  Scenario: a replica that drains while the largest configuration is sent gets no more orders
    Given a users' fleet of 2 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When a configuration of 1000 kB adds the route "added"
    And the first replica drains 100 ms later
    Then no order reaches the first replica later than 2000 ms after that

  Scenario: a replica whose entry is removed just after a reset of the store connections gets no more orders
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway, with links to the store that can fail
    When the connections to the store are reset
    And the entry of the first replica is removed 50 ms later
    Then no order reaches the first replica later than 2000 ms after that

  Scenario: a relaying gateway does not send the others the content of the largest configuration
    When a gateway that relays the store to 30 others receives a configuration of 1000 kB
    Then it has sent each of them less than 5 kB

  Scenario: a change is in force within 2 s though all connections to the store stopped responding
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When the connections to the store stop responding, and new ones work
    And 3000 ms pass
    And a configuration of 100 kB adds the route "added"
    Then the route "added" is in force at every gateway within 2000 ms

  Scenario: a change is in force within 2 s though the store connections of one gateway stopped responding
    Given a users' fleet of 1 service replicas and 3 gateways, whose links to the store pass 875 bytes a ms
    When the store connections of a gateway that does not plan stop responding, and new ones work
    And a configuration of 100 kB adds the route "added"
    Then the route "added" is in force at every gateway within 2000 ms
