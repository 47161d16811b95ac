Feature: Replicas that report leaving or ask for a pause

  Scenario Outline: a service replica that reports leaving in <answer> gets no more requests
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And the first replica's fault is "<fault>"
    When the first replica reports in its responses that it is leaving
    And a caller sends 30 orders
    Then at most 1 of them reached the first replica
    And neither a changed nor a new entry brings it requests again

    Examples:
      | answer        | fault                   |
      | whole answers | none                    |
      | refusals      | sheds                   |
      | failures      | fails                   |
      | cut answers   | cut in the answer       |

  Scenario: a model replica that reports leaving in its reports gets no more requests
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When the engine that served a draft reports in its responses that it is leaving
    And 600 ms pass
    And a caller sends 10 drafts
    Then every answer is whole
    And none of them reached that engine

  # The entry of a replica that couldn't renew it lapsed, and what it had said was forgotten.
  Scenario Outline: a replica that <asked> keeps that when its entry lapses and comes back
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And the first replica <states>
    When a caller sends 12 orders
    Then neither a changed nor a new entry brings it requests again

    Examples:
      | asked              | states                                   |
      | asked for a pause  | refuses requests with a Retry-After of "60" |
      | named a rate limit | names a rate limit of 0.05               |

  Scenario: a replica that reports leaving after its entry has lapsed gets no requests when it is back
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the first replica's entry lapses while it works on orders whose responses report leaving
    Then neither a changed nor a new entry brings it requests again

  Scenario: a replica that restarts with the id of one that left gets requests
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When the first replica reports in its responses that it is leaving
    And a caller sends 2 orders
    And the first replica restarts with the same id
    And a caller sends 4 orders
    Then the last 4 responses are complete

  Scenario Outline: a replica that refuses requests with a pause of "<pause>" gets <from> to <to> requests
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And the first replica refuses requests with a Retry-After of "<pause>"
    When a caller sends orders for 2500 ms
    Then between <from> and <to> requests reached the first replica

    Examples:
      | pause                         | from | to |
      | 60                            | 1    | 2  |
      | 0.9                           | 2    | 6  |
      | 1000000000                    | 1    | 2  |
      | 0                             | 3    | 99 |
      | -5                            | 3    | 99 |
      | soon                          | 3    | 99 |
      | Wed, 01 Jan 2031 00:00:00 GMT | 3    | 99 |

  Scenario: callers are refused at once when all replicas ask for a pause longer than callers can wait
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And all replicas refuse requests with a Retry-After of "20"
    When a caller sends 12 orders
    Then at most 4 requests reached the replicas
    And the last response is an immediate refusal with a Retry-After of 2 s or more

  Scenario: queued drafts are not sent to model replicas during a pause that they asked for
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And all replicas refuse requests with a Retry-After of "1.2"
    When a caller sends a draft, and 8 more at once 100 ms later
    And the replicas accept requests again after 700 ms
    Then at most 3 requests reached each replica before the pause was over
