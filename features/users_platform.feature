Feature: The users' platform

  Scenario: an order reaches a replica once and its answer comes back unchanged
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When a caller sends an order
    Then the answer is the replica's own, with its signature
    And the order ran once, with the caller's method, path and body

  Scenario Outline: an answer that is "<fault>"
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the replicas' fault is "<fault>"
    When a caller sends an order
    Then the caller gets <result>
    And the order ran at most once

    Examples:
      | fault                   | result           |
      | sheds                   | a refusal        |
      | sheds without saying so | status 502       |
      | fails                   | status 500       |
      | unsigned                | status 502       |
      | foreign answer          | status 502       |
      | cut in the answer       | a cut answer     |
      | unframed                | a whole answer   |
      | unframed and cut        | a cut answer     |
      | reset before the answer | status 502       |
      | mute                    | status 504       |

  Scenario: a read that one replica fails is sent to another
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And the first replica's fault is "fails"
    When a caller sends 12 reads
    Then every answer is whole
    And no read ran on more than 2 replicas

  Scenario: headers that are the system's to set
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a caller sends a draft with its own "Hold, Pin-Ms, Kv-From, Kv-Backup, Kv-Fetch, Request-Priority, Expect-Instance"
    Then the replica saw none of "Hold, Pin-Ms, Kv-From, Kv-Backup, Kv-Fetch" from the caller
    And the replica was named in the request
    And the replica was given less time than the caller has

  Scenario: a route's time is kept
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the routes' time is 400 ms
    And the replicas' fault is "mute"
    When a caller sends an order
    Then the caller gets status 504
    And the answer took between 380 and 700 ms

  Scenario: a caller that leaves
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the replicas need 1500 ms for a request
    When a caller sends an order and leaves after 100 ms
    Then the replica sees the request abandoned within 500 ms

  Scenario: a caller that leaves in the middle of a stream
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a caller sends a draft and leaves after 35 ms
    Then the replica sees the request abandoned within 500 ms

  Scenario Outline: placement goes on while the store is <store>
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When the store is <store>
    And a caller sends a patient draft for a model that no engine holds
    Then every answer is whole

    Examples:
      | store  |
      | away   |
      | silent |

  Scenario: a store that was silent when a gateway started
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When another gateway starts while the store is silent and answers again after 1200 ms
    Then that gateway is ready within 700 ms of the store's return

  Scenario: a request that comes before the first configuration
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the store takes 200 ms for a call
    When the gateway starts again and a caller sends orders until one is answered
    Then every answer is whole

  Scenario Outline: a resumable stream that is cut "<where>"
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And the first engine's fault is "<where>"
    When a caller sends 6 long drafts
    Then every stream has each event once, in order

    Examples:
      | where           |
      | cut in an event |

  Scenario: an adapter is loaded for the request that needs it
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a caller sends a draft for each of 3 adapters in turn
    Then every answer is whole
    And the engine never held more than 2 adapters
    And every order had a larger fence than the one before

  Scenario: a model that no replica holds is loaded and served
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When a caller sends a patient draft for the model "rare"
    Then every answer is whole

  Scenario Outline: a replica that is <gone>
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the first replica is <gone>
    And a caller sends 10 orders
    Then none of them reached the first replica

    Examples:
      | gone                      |
      | draining                  |
      | taken off the list        |
      | replaced by a broken entry |

  Scenario: two entries with one address
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the first replica is listed under another id
    And a caller sends 10 orders
    Then every answer is whole
    And no attempt failed on the way

  Scenario: a model replica that is down is noticed by its steward
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When the first engine goes down and its entry stays
    And a caller sends 6 drafts
    Then every answer is whole
    And no attempt failed on the way

  Scenario: a model replica that comes back under another id after its steward has seen it
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When the first engine starts again, empty, and is listed under another id 1000 ms later
    And a caller sends a patient draft for the model "rare"
    Then every answer is whole

  Scenario: a model replica that crashes while a model is on its way
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    And the engines need 3000 ms to load a model
    When a caller sends a patient draft for the model "rare" and leaves after 1000 ms
    And the first engine is down for 800 ms and comes back, empty, under another id
    And the engines need 60 ms to load a model
    And a caller sends a patient draft for the model "rare"
    Then every answer is whole

  Scenario: entries that lapsed while the store was away
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the store is away for 4000 ms and the replicas' entries lapse meanwhile
    And the entries are back 1000 ms after it
    Then orders were answered all the while

  Scenario: a configuration comes into force while the store forgets its history
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When the store forgets its history and a configuration adds the route "added"
    Then the route "added" is served within 2000 ms

  Scenario: the gateways hear of the store from the planner's
    Given a users' fleet of 1 service replicas, 1 engines and 3 gateway
    When the replicas' entries change every 100 ms for 3000 ms
    Then the store was asked for changes at most 18 times
    And a configuration that adds the route "added" is in force at each gateway within 1200 ms

  Scenario: gateways of a fleet without stewards share the retry slack
    Given a users' fleet of 1 service replicas, 0 engines and 6 gateway
    When a caller sends an order to each gateway 5000 ms after the start
    Then each gateway has counted 6 gateways

  Scenario: the planner's gateway stands still
    Given a users' fleet of 1 service replicas, 1 engines and 3 gateway
    When the planner's gateway stands still
    Then a configuration that adds the route "added" is in force at each other gateway within 2000 ms

  Scenario: a gateway that is stopped
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    And the replicas need 1500 ms for a request
    When the first gateway is stopped while 5 orders run
    Then every answer is whole
    And the gateway had said that it is not ready and has ended

  Scenario: a request on a kept connection long after the stop signal
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    When a caller's stream goes on after the stop signal and an order follows on its connection
    Then the stream is whole and the order is refused, without having run

  Scenario: a gateway that knows no configuration
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When another gateway starts while the store is away
    Then that gateway is not ready and refuses an order with 503

  Scenario Outline: a settings file with <fault>
    When a gateway starts with a settings file with <fault>
    Then it ends at once and names "<field>"

    Examples:
      | fault                 | field                    |
      | no node               | node                     |
      | a bad store address   | platform.address         |
      | no address for callers | listenAddrs.front        |
      | a text as a bound     | bounds.drainMs           |

  Scenario Outline: a reload signal while a <program> starts
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a <program> starts again and gets a reload signal as soon as it takes one
    Then it was not listening yet
    And it handles the signal once it has started

    Examples:
      | program |
      | gateway |
      | steward |

  Scenario: a request that crashes the replicas which run it
    Given a users' fleet of 5 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica
    When a caller sends the order "crash" 3 times to each gateway in turn
    Then at most 2 replicas have crashed
    And the last answer is a refusal with a time to return
    And an order with another body is answered by each gateway

  Scenario: replicas that crash together
    Given a users' fleet of 3 service replicas, 0 engines and 2 gateway
    And the replicas need 1500 ms for a request
    When all replicas crash while 4 orders run at each gateway and new ones come
    And the same order is sent to each gateway once more
    Then every answer is whole
