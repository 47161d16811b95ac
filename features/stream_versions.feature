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
      | another gateway  | all      |
      | a new gateway    | all      |

  # Streams of one version go on anywhere, also where nothing is known of their beginning.
  Scenario: a caller resumes at another gateway while there is one version
    Given a users' fleet of 0 service replicas, 1 engines and 2 gateway
    And the replicas' fault is "cut in an event"
    When a caller sends 3 long drafts, and resumes each at another gateway
    Then all of the streams are complete

  # Streams could not be resumed at any gateway once the one that began them had ended.
  Scenario Outline: streams of two versions go on at their version after <who> killed
    Given a users' fleet of 0 service replicas, 4 engines and 2 gateway
    And the engines have the software versions v1, v2, v1, v2
    When 24 long drafts run at the first gateway
    And <who> killed and started again
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And all of the streams are complete

    Examples:
      | who                  |
      | the first gateway is |
      | all gateways are     |

  # A gateway that had just started knew only the versions that were listed by then.
  Scenario Outline: streams of a replaced version don't go on at the new one after <who> restarted <how>
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When 24 long drafts run at the first gateway
    And the engines are replaced by 2 engines of version v2 on the list
    And <who> restarted by <how>
    And the replaced engines end
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And 12 new long drafts begin at the second gateway

    Examples:
      | who                   | how     |
      | the second gateway is | SIGTERM |
      | the second gateway is | SIGKILL |
      | all gateways are      | SIGKILL |

  # Streams from before and after a release could not be told apart once all gateways had ended.
  Scenario: streams that began before and during a release go on at their versions after a kill of all gateways
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When 12 long drafts run at the first gateway
    And 4 engines of version v2 are added
    And 24 long drafts run at the first gateway
    And all gateways are killed and started again
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And all of the streams are complete

  # A store that came back from a copy had lost the records of streams.
  Scenario: streams of two versions don't mix after the store was restored and all gateways were killed
    Given a users' fleet of 0 service replicas, 4 engines and 2 gateway
    And the engines have the software versions v1, v2, v1, v2
    When a snapshot of the store is taken
    And 24 long drafts run at the first gateway
    And the store is restored from the snapshot, while gateways have 1500 ms to write to it
    And all gateways are killed and started again
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And all of the streams are complete

  # A gateway ended together with the store's last seconds, and with them the records of its streams.
  Scenario Outline: streams of two versions go on at theirs when <who> killed as the store is restored <times>
    Given a users' fleet of 0 service replicas, 4 engines and 2 gateway
    And the engines have the software versions v1, v1, v2, v2
    When a snapshot of the store is taken
    And 24 long drafts run at the first gateway
    And <who> killed while the store is restored from the snapshot <times>
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And all of the streams are complete

    Examples:
      | who                  | times |
      | the first gateway is | once  |
      | the first gateway is | twice |
      | all gateways are     | once  |
      | all gateways are     | twice |

  # The copy was older than the change of the version at which streams begin without a record.
  Scenario: streams go on at their versions when the store loses a change of the default with all gateways
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When a snapshot of the store is taken
    And 8 long drafts run at the first gateway
    And 4 engines of version v2 are added with their stewards
    And 16 long drafts run at the first gateway
    And all gateways are killed while the store is restored from the snapshot once
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And all of the streams are complete

  # What no steward knows and the store may have lost must not go on.
  Scenario: streams that only a killed steward knew don't mix after a restore
    Given a users' fleet of 0 service replicas, 4 engines and 2 gateway
    And the engines have the software versions v1, v1, v2, v2
    When a snapshot of the store is taken
    And 24 long drafts run at the first gateway
    And the steward of the last engine is killed
    And all gateways are killed while the store is restored from the snapshot once
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And at least 12 of the streams are complete

  # A steward that had just started knew no stream of its replica.
  Scenario: stewards are told of running streams when they are linked
    When streams begin before their steward is linked, which then restarts
    Then it has been told of each stream once for each link

  Scenario: only a version without any other for the life of a stream is taken for that of all streams
    Then versions that served for these times have left this only version:
      | versions                       | only |
      | v1 from 0 to 59                | none |
      | v1 from 0 to 61                | v1   |
      | v1 from 0 to 100, v2 at 30     | v1   |
      | v1 from 0 to 100, v2 at 41     | none |
      | v1 from 0 to 30, v2 from 31 to 89 | none |
      | v1 from 0 to 30, v2 from 31 to 91 | v2   |

  # A stream began at a version that nobody could have told later.
  Scenario: no stream begins at a version that can't be recorded while the store is away
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    And the engines have the software versions v1, v2
    When 6 long drafts run at the first gateway while the store is away
    And the store is back and all gateways are killed and started again
    And their callers resume them at the second gateway
    Then no stream has events of two versions

  # A resumed stream was taken for one that began at the only version known.
  Scenario Outline: a resumed stream is <outcome> when its caller names <what>
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    And the engines have the software versions v1, v2
    When 12 long drafts run at the first gateway
    And a caller resumes a stream with the first request "<resumes>" at the second gateway
    Then the resumed stream is <outcome>

    Examples:
      | what                         | resumes       | outcome |
      | no stream                    |               | refused |
      | a stream that has no record  | an-unknown-id | served  |

  # Reported by another operator: such streams went on at the version that the gateway had known before.
  Scenario: a gateway that stood still while engines of a new version joined keeps the streams at them
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When 4 long drafts run at the first gateway
    And the second gateway stands still
    And 2 engines of version v2 are added
    And 12 long drafts run at the first gateway
    And the first gateway is killed
    And the second gateway goes on
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And streams of v2 have begun
    And all of the streams are complete

  # Streams went on at engines that had restarted as another version under their ids.
  Scenario Outline: streams stay at their version when <replaced> of 4 engines restart as another one <when>
    Given a users' fleet of 0 service replicas, 4 engines and 2 gateway
    When 24 long drafts run at the first gateway
    And <replaced> engines restart with version v2 <when>
    And the list names the engines that run
    And their callers resume them at the second gateway
    Then no stream has events of two versions
    And <complete> of the streams are complete

    Examples:
      | replaced | when                                      | complete         |
      | 4        | while the first gateway stands still      | none begun at v1 |
      | 2        | while the first gateway stands still      | all              |
      | 4        | before the list and their stewards say so | none begun at v1 |
      | 2        | before the list and their stewards say so | all              |

  # Streams that began at such an engine were taken for streams of the version that was listed.
  Scenario: streams that begin at an engine whose new version isn't listed yet stay at their version
    Given a users' fleet of 0 service replicas, 4 engines and 2 gateway
    When 1 long drafts run at the first gateway
    And 3 engines restart with version v2 before the list and their stewards say so
    And 12 long drafts run at the first gateway
    And the list names the engines that run
    And the first gateway is killed and started again
    And their callers resume them at the second gateway
    Then no stream has events of two versions

  # Gateways told apart by what they remembered, and by what was listed.
  Scenario: no stream of a random series of starts, releases, kills and restores continues at another version
    Then in 1000 random series every resumed stream continues at its version

  # Such a gateway kept the previous default for as long again, and resumed streams of the new one at it.
  Scenario: a gateway that learns late of a change forgets the previous default when its lease ends
    Then every stream of a gateway that started late continues at its version
