Feature: Responses whose connection ends while their reader is paused

  # The end of a connection threw an error in the HTTP client, which nothing took.
  Scenario Outline: <what> with <framing> that ends with <ending> while its reader is paused
    When <what> with <framing> ends with <ending> while its reader is paused
    Then it was <outcome>
    And no error has escaped

    Examples:
      | what                      | framing            | ending     | outcome            |
      | a response of a replica   | a length           | a FIN      | complete           |
      | a response of a replica   | a length           | a late FIN | complete           |
      | a response of a replica   | a length and close | a FIN      | complete           |
      | a response of a replica   | chunks and close   | a FIN      | complete           |
      | a response of a replica   | the connection     | a FIN      | complete           |
      | a response of a replica   | the connection     | a late FIN | complete           |
      | a response of a replica   | a length and close | a reset    | complete or cut    |
      | a response of a replica   | the connection     | a reset    | cut                |
      | an aborted response       | the connection     | a FIN      | dropped            |
      | an aborted response       | the connection     | a late FIN | dropped            |
      | an aborted response       | a length and close | a late FIN | dropped            |
      | an unneeded response      | the connection     | a FIN      | dropped            |
      | a response of a service   | a length           | a FIN      | complete           |
      | a response of a service   | the connection     | a FIN      | complete           |
      | a response of a service   | the connection     | a late FIN | complete           |
      | a response of a service   | the connection     | a reset    | cut                |
      | a completion of an engine | the connection     | a FIN      | complete           |
      | a completion of an engine | chunks and close   | a late FIN | complete           |
      | a completion of an engine | the connection     | a reset    | complete or cut    |
      | a range of the store      | the connection     | a FIN      | complete           |
      | a range of the store      | a length and close | a FIN      | complete           |

  # One caller that read late made its gateway stand still for the others.
  Scenario Outline: callers of a gateway that read late responses with <framing>, ended by <ending>, get <outcome>
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When 6 callers of the gateway read late responses with <framing>, ended by <ending>
    Then the late responses are <outcome>
    And plain reads meanwhile took at most 1000 ms
    And no error has escaped from a process

    Examples:
      | framing            | ending     | outcome |
      | a length           | a FIN      | whole   |
      | a length and close | a late FIN | whole   |
      | chunks and close   | a FIN      | whole   |
      | the connection     | a FIN      | whole   |
      | the connection     | a late FIN | whole   |
      | the connection     | a reset    | cut     |

  # The same in the sidecar beside a service.
  Scenario Outline: callers of an entry that read late responses with <framing>, ended by <ending>, get <outcome>
    Given a fleet of 0 engines, 2 services and 1 entries
    When 6 callers of the entry read late responses with <framing>, ended by <ending>
    Then the late responses are <outcome>
    And no error has escaped from a process

    Examples:
      | framing            | ending     | outcome |
      | a length and close | a FIN      | whole   |
      | the connection     | a FIN      | whole   |
      | the connection     | a late FIN | whole   |
      | the connection     | a reset    | cut     |

  # During a release, streams of one event made every gateway stand still.
  Scenario: streams that end with their connection while their version is recorded are complete
    Given a users' fleet of 1 service replicas, 4 engines and 1 gateway
    And the engines have the software versions v1, v1, v1, v2
    And the engines' streams have the fault "no length, at once"
    When a caller sends 24 long drafts
    Then all of the streams are complete
    And streams of v2 have begun
    And no error has escaped from a process
