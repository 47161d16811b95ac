Feature: Connections to the incarnation of a replica that is meant

  # A connection that ended behind the report was opened again without end, until the replica was gone.
  Scenario Outline: a request ends as not run when <what> follows each report of its replica
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    And the stewards stand still
    And each report of the engines is followed by "<bytes>"
    When a caller sends 1 draft
    Then the answer is 503 within 2500 ms, after at most 9 connections

    Examples:
      | what               | bytes                                                                  |
      | another response   | HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n                           |
      | a failure          | HTTP/1.1 500 Internal Server Error\r\ncontent-length: 2\r\n\r\nno      |
      | the head of one    | HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n                          |

  # Streams were cut after two engines that had restarted, although a third was left.
  Scenario: streams continue in one answer at the only engine that has not restarted as another version
    Given a users' fleet of 0 service replicas, 5 engines and 1 gateway
    And the stewards stand still
    When 8 streams run and 4 engines restart with version v2
    Then all streams are answered whole at one version
