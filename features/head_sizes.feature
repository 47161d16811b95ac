Feature: Heads of any number of headers arrive whole

  # Headers behind the thousandth were dropped, and the request ran without them.
  Scenario Outline: a request with <headers> has <outcome>
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When a request with <headers> is sent to a replica that records heads
    Then the request has <outcome>

    Examples:
      | headers                         | outcome               |
      | 1100 headers of 6 bytes         | arrived whole         |
      | 2600 headers of 6 bytes         | arrived whole         |
      | 12 headers of 1300 bytes        | arrived whole         |
      | 300 headers of the same name    | arrived whole         |
      | headers of 16384 bytes in all   | arrived whole         |
      | headers of 16385 bytes in all   | been refused with 431 |

  Scenario: random heads within the limit arrive whole
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When 60 random heads are sent to a replica that records heads
    Then all heads have arrived whole

  Scenario Outline: a response with <headers> arrives whole
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When a replica's response has <headers>
    Then the response has arrived whole

    Examples:
      | headers                      |
      | 1100 headers of 6 bytes      |
      | 300 headers of the same name |

  # The same at the entry, whose service saw the rest only.
  Scenario: a request with 1100 headers of 6 bytes arrives whole at a service
    Given a fleet of 0 engines, 1 services and 1 entries
    When a request with 1100 headers of 6 bytes and a last one is sent to a service that records heads
    Then the last header has arrived
