Feature: The expected cost of replicas that report their pace

  # A header with four numbers was not read at all.
  Scenario Outline: the load "<text>" is read as <result>
    Then a load of "<text>" is read as <result>

    Examples:
      | text            | result                       |
      | 3,1,8           | 3 running and no pace        |
      | 3,1,8,170       | 3 running and a pace of 1.7  |
      | 3,1,8,1         | 3 running and a pace of 0.01 |
      | 3,1,8,0         | 3 running and no pace        |
      | 3,1,8,          | 3 running and no pace        |
      | 3,1,8,-70       | 3 running and no pace        |
      | 3,1,8,10001     | 3 running and no pace        |
      | 3,1,8,Infinity  | 3 running and no pace        |
      | 3,1,8,fast      | 3 running and no pace        |
      | 3,1,8,170,9     | 3 running and a pace of 1.7  |
      | 3,1             | nothing                      |
      | three,1,8,170   | nothing                      |

  # A replica that is avoided gets no requests, so that its last report would count for ever.
  Scenario Outline: reports of <paces> count as <expected> after <age> ms
    Then a replica that reported "<paces>", 100 ms apart, is expected at <expected> after <age> ms

    Examples:
      | paces         | expected | age    |
      | 4             | 4        | 0      |
      | 4             | 1.41     | 60000  |
      | 4             | 1        | 600000 |
      | 0.01          | 0.3      | 0      |
      | 100           | 50       | 0      |
      | 2, 2, 0.7     | 0.7      | 0      |
      | 2, 2, 0.7     | 1.88     | 1000   |

  # The backlog counted requests, so that one long prompt looked shorter than two short ones.
  Scenario: the backlog is measured in work, not in requests
    Then of two replicas with 1 requests of 3000 tokens and 2 of 100, the second gets the next

  Scenario Outline: uneven replicas get work by their pace, seed <seed>
    When 120 requests per second go from 27 gateways to 34 replicas, "a third 2.5 to 6 times slower", with seed <seed>
    Then the 95th percentile of the first event is at most 50% of that without paces
    And the slower third gets at most its share by speed, and every replica some

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Gateways with the same old report would all choose the same replica.
  Scenario Outline: gateways don't herd when paces change ten times a second, seed <seed>
    When 120 requests per second go from 27 gateways to 34 replicas, "paces that change ten times a second", with seed <seed>
    Then the busiest replica gets at most 1.3 times the mean, with at most 6 requests queued
    And the 95th percentile of the first event is at most 110% of that without paces

    Examples:
      | seed |
      | 3    |
      | 4    |

  # A replica that reports a better pace than it has would draw all requests.
  Scenario Outline: a replica that reports 1 and works at 400 is found out, seed <seed>
    When 60 requests per second go from 27 gateways to 34 replicas, "one that reports 1 and works at 400", with seed <seed>
    Then the first replica gets at most half of an equal share

    Examples:
      | seed |
      | 5    |
      | 6    |

  # Without the conditions, a stream that would have gone on is repeated elsewhere, or cut.
  Scenario Outline: a stream <phase> its first event, silent for <silent> ms, <state>: <result>
    Then a stream, <phase> its first event and silent for <silent> ms, "<state>", is to <result>

    Examples:
      | phase  | silent | state            | result |
      | after  | 1300   | as usual         | move   |
      | after  | 1100   | as usual         | wait   |
      | after  | 1300   | others are busy  | wait   |
      | after  | 1300   | little time left | wait   |
      | after  | 9000   | not resumable    | never  |
      | after  | 9000   | no pace reported | never  |
      | after  | 9000   | no attempts left | never  |
      | before | 650    | as usual         | move   |
      | before | 500    | as usual         | wait   |
      | before | 650    | slow replica     | wait   |

  # A silent stream held up its caller until the deadline, while other replicas were idle.
  Scenario Outline: a stream that stops for <silent> ms, <kind>, load "<load>": <moves> moved
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And engines that report the load "<load>" and stop for <silent> ms after the first event of a stream
    When a caller sends 2 <kind>
    Then every stream has each event once, in order
    And <moves> streams were closed at one engine, then resumed at the other

    Examples:
      | kind        | load      | silent | moves |
      | long drafts | 1,0,8,100 | 2500   | 2     |
      | long drafts | 1,0,8     | 1800   | 0     |
      | drafts      | 1,0,8,100 | 1800   | 0     |
      | long drafts | 1,0,8,100 | 900    | 0     |
