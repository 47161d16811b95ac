Feature: Streams and the software version that began them

  # A stream that was cut continued at a replica of another software version.
  Scenario Outline: a stream that is cut continues only at its version, with engines of <versions>
    Given a users' fleet of 0 service replicas, <engines> engines and 1 gateway
    And the engines have the software versions <versions>
    And the replicas' fault is "cut in an event"
    When a caller sends 6 long drafts
    Then no stream has events of two versions
    And <complete> of the streams are complete

    Examples:
      | engines | versions       | complete |
      | 2       | v1, v2         | none     |
      | 4       | v1, v2, v1, v2 | all      |
      | 2       | v1, v1         | all      |

  # Callers that resumed a stream got events of another software version.
  Scenario Outline: a caller that resumes at <where> gets no events of another version
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    And the engines have the software versions v1, v2
    And the replicas' fault is "cut in an event"
    When a caller sends 6 long drafts, and resumes each at <where>
    Then no stream has events of two versions
    And <complete> of the streams are complete

    Examples:
      | where            | complete |
      | the same gateway | all      |
      | another gateway  | none     |
      | a new gateway    | none     |

  # Streams of one version go on anywhere, also where nothing is known of their beginning.
  Scenario: a caller resumes at another gateway while there is one version
    Given a users' fleet of 0 service replicas, 1 engines and 2 gateway
    And the replicas' fault is "cut in an event"
    When a caller sends 3 long drafts, and resumes each at another gateway
    Then all of the streams are complete
