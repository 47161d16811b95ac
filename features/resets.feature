Feature: Responses without a length that end with their connection

  Scenario Outline: a gateway that was paused recognises a response that <how>
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the replicas' fault is "<fault>"
    And the replicas need 300 ms for a request
    When a caller sends a request and the gateway is paused from 100 ms to 700 ms
    Then the caller gets <result>

    Examples:
      | how                         | fault            | result         |
      | has ended                   | unframed         | a whole answer |
      | was reset at its last bytes | unframed and cut | a cut answer   |

  Scenario Outline: a service call whose response <how> counts as <verdict>
    When a service is called whose response <how>
    Then the call counts as <verdict>

    Examples:
      | how                         | verdict      |
      | has ended                   | completed    |
      | was reset at its last bytes | may_have_run |

  Scenario: a replica that refuses connections fails no read and does not end the gateway
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the first replica refuses connections
    And a caller sends 12 reads
    Then every answer is whole
    And the gateway is still running

  Scenario: a service call to a port without a listener counts as not run
    When a service that refuses connections is called
    Then the call counts as not_run
