Feature: Replicas that send endless responses

  Scenario Outline: a response to a <request> that has <what> without end is cut off within bounded memory
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    When the replicas answer a <request> with "<what>" without end, while others are served
    Then the caller's connection has ended within 3500 ms, without a complete response
    And the replica's connection has been closed
    And the gateway has used less than 350 MB of memory

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
      | long draft | an event in small chunks |
      | draft      | an event in small chunks |

  Scenario: a resumable stream resumes on another replica when an event has no end
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When the first engine to get a request responds with "an event" without end
    And a caller sends 1 long drafts
    Then every stream has each event once, in order

  Scenario Outline: a report that has <what> without end takes bounded memory and harms no request
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When the first engine's reports have "<what>" without end for 4000 ms
    And a caller sends 6 drafts
    Then every answer is whole
    And the steward has used less than 280 MB of memory

    Examples:
      | what                    |
      | headers                 |
      | a body in chunks        |
      | a body without a length |

  # An engine's event without an end kept a sidecar busy, and filled its memory.
  Scenario Outline: an event without an end is given up after 1 MiB in pieces of <bytes> bytes
    When an engine's event without an end arrives in pieces of <bytes> bytes
    Then it is given up after at most 1114112 bytes, within 1000 ms

    Examples:
      | bytes |
      | 8     |
      | 65536 |

  Scenario: an engine's events are the same whatever the pieces that they arrive in
    Then in 300 random series of pieces the events of a completion are the same

  # Every stream could hold 1 MiB of an incomplete event, whatever the memory of the process.
  Scenario: endless events of many streams take bounded memory, and sound streams beside them go on
    Then in 20 random series of pieces the incomplete events of 300 streams take at most 35 MB
    And no sound stream of these series has lost an event
