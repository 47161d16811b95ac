Feature: Responses of replicas that are cut at any byte

  # A response that ended with its connection, but named a transfer coding, reached the caller with
  # a final chunk: cut at any byte of its body, it looked complete.
  Scenario Outline: a <method> response with <form> that is cut at any byte does not look complete
    Given a users' fleet of 0 service replicas, 0 engines and 1 gateway
    When callers send a <method> for each byte at which a replica cuts a response with <form>
    Then no cut response looks complete
    And the uncut responses are complete

    Examples:
      | method | form                        |
      | GET    | a length                    |
      | GET    | chunks                      |
      | GET    | chunks and close            |
      | GET    | trailers                    |
      | GET    | trailers and close          |
      | GET    | the connection              |
      | GET    | HTTP/1.0 and a length       |
      | GET    | HTTP/1.0 and the connection |
      | GET    | an identity coding          |
      | GET    | a gzip coding               |
      | GET    | an empty coding             |
      | GET    | one interim head            |
      | GET    | two interim heads           |
      | GET    | connection options          |
      | GET    | an empty body               |
      | GET    | status 204                  |
      | GET    | status 304                  |
      | GET    | status 304 with a length    |
      | HEAD   | a length                    |
      | HEAD   | chunks                      |
      | HEAD   | an empty body               |

  # The entry closed a response that had ended with its connection with a final chunk.
  Scenario Outline: a service's response with <form> that is cut at any byte does not look complete
    Given a fleet of 0 engines, 1 services and 1 entries
    When callers of an entry send a GET for each byte at which a service cuts a response with <form>
    Then no cut response looks complete
    And the uncut responses are complete

    Examples:
      | form                        |
      | a length                    |
      | trailers and close          |
      | the connection              |
      | HTTP/1.0 and the connection |
      | a gzip coding               |
      | two interim heads           |
      | status 304 with a length    |
