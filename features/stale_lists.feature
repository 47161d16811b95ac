Feature: What a gateway does with an old list of replicas

  # A gateway that had stood still sent requests by its old list before it read the changes.
  Scenario Outline: <what> wait for a newer list when <which> has stood still
    Given a users' fleet of 2 service replicas, 2 engines and 3 gateway
    When the first <replica> leaves while <which> stands still for 3500 ms, and <count> <what> follow
    Then none of them reached a replica that had left
    And every answer is whole

    Examples:
      | what   | count | replica         | which                 |
      | orders | 30    | service replica | the planner's gateway |
      | orders | 30    | service replica | another gateway       |
      | drafts | 30    | engine          | the planner's gateway |
      | drafts | 30    | engine          | another gateway       |

  # A request chose its replica, and was sent when a connection was free, whatever was known by then.
  Scenario Outline: a request that waits for <awaited> isn't sent once its replica is not to be used
    When a request waits for <awaited>, and its replica is no longer to be used
    Then the request ends as not started, and only "<paths>" reach the replica on one connection

    Examples:
      | awaited                   | paths        |
      | the response before it    | /a /c        |
      | the report of its replica | /-/report /c |

  # The same, up to the caller's answer.
  Scenario: requests that wait for the report of a replica go elsewhere when it leaves
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And the stewards stand still
    And the engines take 400 ms for a report
    When 4 drafts are sent, and the first engine leaves 100 ms later
    Then none of them reached a replica that had left
    And every answer is whole

  # The report on a new connection said that the replica leaves, and the request was sent on it.
  Scenario: a replica whose report says that it leaves gets no first request
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And the stewards stand still
    When the first engine reports leaving, and 12 drafts are sent
    Then none of them reached a replica that had left
    And every answer is whole

  # After a stall, timeouts fired before the responses that had arrived were read.
  Scenario Outline: <what> that arrived while the process stood still is read
    Then <what> that arrived while the process stood still beyond its timeout is accepted

    Examples:
      | what                |
      | a store response    |
      | a replica's report  |
      | a message of a peer |

  # The first watch after the relay had ended used a connection that had become unresponsive.
  Scenario: a watch of the store doesn't use a connection that has been idle
    Then a watch is answered within 300 ms when its last connection stalled in an idle time of 1500 ms

  # A gateway that had stood still read one old response, and then waited for a batch of changes.
  Scenario: a response of the store that has waited is followed by the next watch at once
    Then the next watch follows within 200 ms after a response that took 900 ms

  # Each watch was given up for the next one before a slow store had responded, without end.
  Scenario: a gateway hears a slow store after it has lost it
    Then a gateway knows of a leaving replica within 3000 ms from a store that takes 1100 ms after 2500 ms without it

  # A gateway that had lost only its own connection kept using replicas that had left for two seconds.
  Scenario: a removal that another gateway relays is not put down to an outage of one's own
    Then a removal relayed after 3500 ms without the store takes effect at once

  # The same, after an outage of the store: a missing replica was used like any other.
  Scenario Outline: <missing> missing after an outage of the store
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the store is silent for 3500 ms, and the entries of <count> replicas are gone after that
    And a caller sends 20 orders
    Then every answer is whole
    And <result>

    Examples:
      | missing          | count | result                                            |
      | a replica        | 1     | the replica without an entry got none of them     |
      | all replicas are | 2     | the replicas without an entry got all of them     |
