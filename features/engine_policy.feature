Feature: Queueing, replica selection and placement under simulated loads

  Scenario: an ordered queue serves at least twice as many requests of a burst on time
    Given a fleet of 12 replicas in which one model with 2 copies gets 40 requests a second for 6 s
    When the requests are simulated with an ordered queue and first come, first served
    Then the ordered queue serves at least twice as many requests on time
    And no request that could still be on time was sent after a less urgent one of its model

  Scenario: placement follows demand that moves to other models every 10 s
    Given a fleet of 12 replicas in which 4 of 10 models are in demand, and demand moves on by two models at 10 s and at 20 s
    When the requests are simulated with and without placement
    Then placement serves more requests on time
    And every requested model has been served
    And no replica ever exceeded its memory
    And no more than 10 loads from the weight store began within 5 s

  Scenario Outline: a planner that knows the rate limits of two of six replicas serves more on time, seed <seed>
    Given a fleet of 6 replicas with 18 models, the busiest with 8 requests a second, in which the first 2 replicas take 1.5 requests a second from 8 s to 40 s, with seed <seed>
    When the requests are simulated with and without rate limits being known to the planner
    Then a planner that knows the rate limits serves more requests on time
    And no replica ever exceeded its memory

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario Outline: retries of <senders> senders that restart during an outage stay within the retry budget
    When <senders> senders, each restarted every 13 s, try to retry every request for 60 s with seed <seed>
    Then no window of 10 s holds more retries than a fifth of its requests plus 52

    Examples:
      | senders | seed |
      | 4       | 9    |
      | 27      | 10   |

  Scenario Outline: retries of <senders> senders during an outage stay within the retry budget
    When <senders> senders try to retry every request for 60 s with seed <seed>
    Then no window of 10 s holds more retries than a fifth of its requests plus 52

    Examples:
      | senders | seed |
      | 1       | 7    |
      | 4       | 8    |
      | 31      | 9    |

  Scenario Outline: a request with a target of <target> ms is sent and abandoned at the right times
    Then a request with a time limit of <limit> ms, a target of <target> ms and a first event after <first> ms must be sent by <by> ms and is abandoned after <useless> ms

    Examples:
      | limit | target | first | by   | useless |
      | 5000  | 800    | 100   | 675  | 3100    |
      | 20000 | 8000   | 100   | 7875 | 19900   |
      | 400   | 800    | 100   | 275  | 300     |

  Scenario Outline: orders that are <fault> never exceed a replica's memory or adapter slots
    When a steward gives orders for 40 adapter requests and 12 placements to a replica whose orders are <fault>, with seed <seed>
    Then the replica never exceeded its memory or its adapter slots
    And every order carried the replica's current sequence
    And the fencing tokens only increased

    Examples:
      | fault             | seed |
      | carried out       | 1    |
      | lost              | 2    |
      | answered too late | 3    |
      | carried out late  | 4    |

  Scenario: a placement of a replaced planner is ignored
    When a steward gets a placement of term 2 and then one of term 1
    Then only the placement of term 2 is carried out

  Scenario: loads from the store keep the limit despite lost responses, late orders and planner changes
    When 300 random histories of loads from the weight store are simulated with seed 20261
    Then no window held more loads than the limit
    And at least 10 loads began in each history on average

  Scenario: fencing tokens increase when the first of two reservations completes last
    When a steward reserves fencing tokens twice while the store responds late to the first write
    Then every fencing token is larger than the one before

  Scenario Outline: a gateway that is <audience> to a replica gets its changing load at a bounded rate
    When a steward reports its replica's load for 20 s
    Then a gateway that is <audience> gets the load at most <most> times a second
    And it gets the load at least every <gap> ms

    Examples:
      | audience | most | gap  |
      | near     | 11   | 100  |
      | far      | 2.7  | 400  |
      | idle     | 0.55 | 2000 |

  Scenario: a replica's state is reproduced from its changes
    When 300 random series of states are sent as changes, with seed 20261
    Then the receiver always had the latest state
    And the change of an adapter takes less than half the bytes of the full state

  Scenario: the index of replicas by model is correct while replicas come, go and change
    When 200 random histories of replicas are simulated with seed 20261
    Then the index of replicas by model always matched a scan of every replica

  Scenario Outline: weights are cached ahead of demand, where a load takes <store> s from the store and <disk> s from disk
    When a fleet of 8 replicas without demand is planned until no move is left, with loads of <store> s from the store and <disk> s from disk
    Then each model's weights are loaded or cached at <least> to <most> replicas

    Examples:
      | store | disk | least | most |
      | 9     | 2    | 3     | 4    |
      | 5     | 2    | 3     | 4    |
      | 1.2   | 0.5  | 1     | 2    |
      | 0.5   | 0.4  | 1     | 1    |

  Scenario: queued requests stay in the reported demand while no new ones arrive
    When a gateway reports its demand twice while 3 requests are queued and none is new
    Then the planner sees 3 queued requests after each report

  Scenario: copies with twice the load that they can serve stay busy, and the excess is refused early
    Given a fleet of 12 replicas in which one model with 4 copies gets 66 requests a second for 12 s
    When the requests are simulated with an ordered queue and first come, first served
    Then at least 85 in 100 of the requests that the copies can serve are served on time
    And at most 5 in 100 of the served requests are late
    And 9 in 10 of the refused requests are refused within 100 ms

  Scenario Outline: the earlier wait of a caller that retries with <left> ms left is estimated
    Then a caller with <left> ms left, where callers usually start with <usual> ms, is estimated to have waited <before> ms

    Examples:
      | left  | usual | before |
      | 5000  | 5000  | 0      |
      | 4300  | 5000  | 0      |
      | 3500  | 5000  | 750    |
      | 1000  | 5000  | 3250   |

  Scenario: another process takes a role whose holder can no longer fill it
    When two processes compete for a role and its holder becomes unable to fill it
    Then the other process holds the role within 3 s, with a larger term
    And the role was never held by both at once
