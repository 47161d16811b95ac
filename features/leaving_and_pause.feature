Feature: Replicas that say that they leave or ask for a pause

  Scenario Outline: a service replica says in <answer> that it leaves
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And the first replica's fault is "<fault>"
    When the first replica says in its answers that it leaves
    And a caller sends 30 orders
    Then at most 1 of them reached the first replica
    And its entry does not bring it back, new or changed

    Examples:
      | answer        | fault                   |
      | whole answers | none                    |
      | refusals      | sheds                   |
      | failures      | fails                   |
      | cut answers   | cut in the answer       |

  Scenario: a model replica says in its reports that it leaves
    Given a users' fleet of 0 service replicas, 2 engines and 2 gateway
    When the engine that a draft went to says in its answers that it leaves
    And 600 ms pass
    And a caller sends 10 drafts
    Then every answer is whole
    And none of them reached that engine

  Scenario: a replica that leaves ends and another start has its id
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When the first replica says in its answers that it leaves
    And a caller sends 2 orders
    And the first replica starts again under its id
    And a caller sends 4 orders
    Then the last 4 answers are whole

  Scenario Outline: a replica turns requests away and asks for a pause of "<pause>"
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And the first replica turns requests away with a pause of "<pause>"
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

  Scenario: all replicas ask for a pause that is longer than callers can wait
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And all replicas turn requests away with a pause of "20"
    When a caller sends 12 orders
    Then at most 4 requests reached the replicas
    And the last answer is a refusal, at once, with a time to return of 2 s or more

  Scenario: model replicas ask for a pause while drafts wait
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And all replicas turn requests away with a pause of "1.2"
    When a caller sends a draft, and 8 more at once 100 ms later
    And the replicas take requests again after 700 ms
    Then at most 3 requests reached each replica before the pause was over
