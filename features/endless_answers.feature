Feature: Replicas that send bytes without end

  Scenario Outline: an answer to a <request> that has <what> without end
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    When the replicas answer a <request> with "<what>" without end, while others are served
    Then the caller's connection has ended within 3500 ms, without a whole answer
    And the replica's connection has been closed
    And the gateway has stayed under 350 MB

    Examples:
      | request    | what                     |
      | order      | bytes that are no answer |
      | order      | a status line            |
      | order      | a header                 |
      | order      | headers                  |
      | order      | interim answers          |
      | order      | a body in chunks         |
      | order      | a body without a length  |
      | order      | a chunk extension        |
      | order      | trailers                 |
      | long draft | headers                  |
      | long draft | an event                 |
      | draft      | an event                 |

  Scenario: a resumable stream goes on elsewhere when an event has no end
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When the engine that is asked first answers with "an event" without end
    And a caller sends 1 long drafts
    Then every stream has each event once, in order

  Scenario Outline: a report that has <what> without end
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When the first engine's reports have "<what>" without end for 4000 ms
    And a caller sends 6 drafts
    Then every answer is whole
    And the steward has stayed under 280 MB

    Examples:
      | what                    |
      | headers                 |
      | a body in chunks        |
      | a body without a length |
