Feature: Response headers of replicas that no code reads

  Scenario: a header that no code reads is logged once by the gateway and the steward
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    When all replicas send "Server-Color: green" in each response
    And a caller sends 5 orders
    And 500 ms pass
    Then the gateway and the steward have logged "server-color" once

  Scenario: no more than 32 unread headers of a replica are logged
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When a caller sends 50 orders, and each response has a different header
    Then the gateway has logged 32 headers
