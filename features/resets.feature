Feature: Answers without a length that end with their connection

  Scenario Outline: a gateway that stands still finds an answer that <how>
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the replicas' fault is "<fault>"
    And the replicas need 300 ms for a request
    When a caller sends an order and the gateway stands still from 100 ms to 700 ms
    Then the caller gets <result>

    Examples:
      | how                         | fault            | result         |
      | has ended                   | unframed         | a whole answer |
      | was reset at its last bytes | unframed and cut | a cut answer   |

  Scenario Outline: a service call whose answer <how>
    When a service is called whose answer <how>
    Then the call counts as <verdict>

    Examples:
      | how                         | verdict      |
      | has ended                   | completed    |
      | was reset at its last bytes | may_have_run |

  Scenario: a replica that refuses connections
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the first replica refuses connections
    And a caller sends 12 reads
    Then every answer is whole
    And the gateway has not ended

  Scenario: a service call to nobody
    When a service is called that refuses connections
    Then the call counts as not_run
