Feature: Headers of replicas that no code reads

  Scenario: a replica begins to send a header that nothing reads
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    When all replicas send "Server-Color: green" in each answer
    And a caller sends 5 orders
    And 500 ms pass
    Then the gateway and the steward have told of "server-color" once

  Scenario: a replica sends a new header in each answer
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When a caller sends 50 orders, and each answer has another header
    Then the gateway has told of 32 headers
