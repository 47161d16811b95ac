Feature: Each caller gets the complete response to its own request

  Scenario Outline: streams stay complete when <fault>
    Given a fleet of 3 engines, 0 services and 2 entries with 3 copies
    When 12 callers ask for 80 tokens 2 times, and <fault> midway
    Then every response is complete and belongs to its caller

    Examples:
      | fault                                |
      | an engine is killed                  |
      | a sidecar is killed                  |
      | a sidecar is paused                  |
      | a sidecar is paused and continued    |
      | two sidecars are killed one by one   |
      | a sidecar is stopped                 |
      | an engine and a sidecar are killed   |

  Scenario Outline: no caller accepts a damaged response when frames are tampered with: <tampering>
    Given a fleet of 2 engines, 0 services and 2 entries with frames of sidecar 0 tampered with: <tampering> every <every>
    When 8 callers ask for 30 tokens 3 times
    Then no incomplete or foreign response had an end marker
    And at least <whole> of 24 responses are complete
    And entries counted "<counter>" for "<reason>"

    Examples:
      | tampering               | every | whole | counter      | reason            |
      | cut between frames      | 60    | 22    | link_faults  | closed_by_peer    |
      | cut within a frame      | 60    | 22    | link_faults  | closed_by_peer    |
      | drop a frame            | 60    | 22    | stale_frames | sequence_gap      |
      | double a frame          | 60    | 22    | stale_frames | sequence_gap      |
      | cross two attempts      | 60    | 22    | stale_frames | sequence_gap      |
      | replay a frame late     | 60    | 22    | stale_frames | sequence_gap      |
      | send rubbish            | 60    | 22    | link_faults  | frame_malformed   |
      | send an unknown message | 60    | 22    | link_faults  | message_malformed |
      | send an oversized frame | 60    | 22    | link_faults  | frame_too_large   |

  Scenario: a stream that cannot go on ends with an error event and no end marker
    Given a fleet of 1 engines, 0 services and 1 entries
    When a paid caller asks for 400 tokens within 3000 ms and the only engine is killed midway
    Then the response ends with an error event and no end marker

  Scenario: trial requests that are preempted by paid requests are resumed later
    Given a fleet of 1 engines, 0 services and 1 entries with 4 slots
    When 4 trial callers ask for 120 tokens and then 4 paid callers for 40 tokens
    Then every response is complete and belongs to its caller
    And sidecars counted "preemptions" for "trial"
