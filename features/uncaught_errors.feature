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

  # A failed assertion in a library made its gateway stand still for 42 s.
  Scenario: a bundled program in which an assertion of a library fails goes on at once
    When a bundled program runs in which an assertion of a library fails
    Then one error has escaped, and the program has stood still for at most 50 ms

  # An entry that stopped logged such an error.
  Scenario: a store client that is closed during a call raises no error that nothing takes
    When a store client is closed during a call
    Then the call has failed, and no error has escaped
