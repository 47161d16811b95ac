Feature: Requests that reach a gateway while it stops

  # Orders whose body came late in the grace period ran, and were cut at its end.
  Scenario Outline: an order with its last byte <atMs> ms after the stop signal is answered, and a refused one has not run
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    And the replicas need 1000 ms for a request
    When the gateway is stopped, and 4 orders have their last byte <atMs> ms later
    Then each order that ran has its answer
    And the other orders are refused as not run

    Examples:
      | atMs |
      | 500  |
      | 2000 |
      | 2900 |
      | 3600 |
      | 4300 |

  # A pipelined order ran, and the response ahead of it closed the connection.
  Scenario Outline: an order that is pipelined <whenMs> ms after the stop signal is answered
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    And the replicas need 800 ms for a request
    When the gateway is stopped, and <whenMs> ms later 4 orders follow others on their connections
    Then each order that ran has its answer
    And no order has run without an answer to the one ahead of it

    Examples:
      | whenMs |
      | 100    |
      | 1200   |

  # What was still running at the end of the grace period ended without an answer.
  Scenario: orders that are still running at the end of the grace period get an answer
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    And the replicas need 20000 ms for a request
    When the gateway is stopped while 4 orders run that may last 30000 ms
    Then every order is answered with 504

  # The other front closed connections under pipelined requests as well.
  Scenario: pipelined requests to a service are all answered while an entry stops
    Given a fleet of 0 engines, 1 services and 1 entries
    When the entry is stopped, and 3 requests follow others on their connections
    Then all 6 requests are answered, or have not run
