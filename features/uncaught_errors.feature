Feature: An uncaught error in one request affects no other request

  Scenario Outline: a daemon with uncaught errors, run <handlers> the error handlers, <outcome>
    When a program with uncaught errors runs <handlers> the error handlers
    Then it <outcome>

    Examples:
      | handlers | outcome                                |
      | with     | goes on and has counted and logged two |
      | without  | has ended                              |

  Scenario: gateway and steward install handlers for uncaught errors
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    Then the metrics of the gateway and the steward include the count of uncaught errors
