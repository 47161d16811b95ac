Feature: The users' platform

  Scenario: an order reaches a replica once and its response comes back unchanged
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When a caller sends an order
    Then the response is the replica's own, with its signature
    And the order ran once, with the caller's method, path and body

  Scenario Outline: a replica with the fault "<fault>" gives the caller <result>
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

  Scenario: a read that fails at one replica is sent to another
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    And the first replica's fault is "fails"
    When a caller sends 12 reads
    Then every answer is whole
    And no read ran on more than 2 replicas

  Scenario: a caller cannot set the headers that are reserved to the system
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a caller sends a draft with its own headers "Hold, Pin-Ms, Kv-From, Kv-Backup, Kv-Fetch, Request-Priority, Expect-Instance"
    Then the replica saw none of "Hold, Pin-Ms, Kv-From, Kv-Backup, Kv-Fetch" from the caller
    And the request named the replica as the expected instance
    And the replica was given less time than the caller has

  Scenario: a route's timeout ends a request with status 504
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the routes have a timeout of 400 ms
    And the replicas' fault is "mute"
    When a caller sends an order
    Then the caller gets status 504
    And the response took between 380 and 700 ms

  Scenario: a replica sees its request abandoned when the caller disconnects
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the replicas need 1500 ms for a request
    When a caller sends an order and disconnects after 100 ms
    Then the replica sees the request abandoned within 500 ms

  Scenario: a replica sees its stream abandoned when the caller disconnects
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a caller sends a draft and disconnects after 35 ms
    Then the replica sees the request abandoned within 500 ms

  Scenario Outline: placement continues while the store is <store>
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When the store is <store>
    And a caller sends a delay-tolerant draft for a model that no engine has loaded
    Then every answer is whole

    Examples:
      | store  |
      | away   |
      | silent |

  Scenario: a gateway started while the store did not respond is ready soon after it responds
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When another gateway starts while the store is silent, and the store responds again after 1200 ms
    Then that gateway is ready within 700 ms after the store responds again

  Scenario: a request that arrives before the first configuration waits for it
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    And the store takes 200 ms for a call
    When the gateway restarts and a caller sends orders until one gets a response
    Then every answer is whole

  Scenario Outline: a resumable stream that is cut "<where>" resumes with each event once
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
    And the engine never had more than 2 adapters loaded
    And every order of the steward had a larger fencing token than the one before

  Scenario: a model that no replica has loaded is loaded and served
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When a caller sends a delay-tolerant draft for the model "rare"
    Then every answer is whole

  Scenario Outline: a replica that is <gone> gets no requests
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the first replica is <gone>
    And a caller sends 10 orders
    Then none of them reached the first replica

    Examples:
      | gone                      |
      | draining                  |
      | taken off the list        |
      | replaced by a broken entry |

  Scenario: two entries with one address fail no request
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the first replica is listed under another id
    And a caller sends 10 orders
    Then every answer is whole
    And no attempt failed

  Scenario: a steward notices that its model replica is down, and no request fails
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    When the first engine goes down and its entry stays
    And a caller sends 6 drafts
    Then every answer is whole
    And no attempt failed

  Scenario: a model replica listed under another id after its steward saw it restart serves requests
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When the first engine restarts without models and is listed under another id 1000 ms later
    And a caller sends a delay-tolerant draft for the model "rare"
    Then every answer is whole

  Scenario: a model replica that crashes while it loads a model serves requests after its restart
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    And the engines need 3000 ms to load a model
    When a caller sends a delay-tolerant draft for the model "rare" and disconnects after 1000 ms
    And the first engine is down for 800 ms and restarts without models under another id
    And the engines need 60 ms to load a model
    And a caller sends a delay-tolerant draft for the model "rare"
    Then every answer is whole

  Scenario: orders are served while entries that expired in a store outage are missing
    Given a users' fleet of 2 service replicas, 0 engines and 1 gateway
    When the store is unavailable for 4000 ms and the replicas' entries expire meanwhile
    And the entries are registered again 1000 ms after the outage
    Then orders were served throughout

  Scenario: a configuration comes into force while the store compacts its history
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When a configuration adds the route "added" and the store compacts its history
    Then the route "added" is served within 2000 ms

  Scenario: gateways receive store changes through the planner's gateway
    Given a users' fleet of 1 service replicas, 1 engines and 3 gateway
    When the replicas' entries change every 100 ms for 3000 ms
    Then the store was asked for changes at most 18 times
    And a configuration that adds the route "added" is in force at each gateway within 1200 ms

  Scenario: gateways of a fleet without stewards share the retry slack
    Given a users' fleet of 1 service replicas, 0 engines and 6 gateway
    When a caller sends an order to each gateway 5000 ms after the start
    Then each gateway has counted 6 gateways

  Scenario: a configuration is in force at the other gateways while the planner's gateway is suspended
    Given a users' fleet of 1 service replicas, 1 engines and 3 gateway
    When the planner's gateway is suspended
    Then a configuration that adds the route "added" is in force at each other gateway within 2000 ms

  Scenario: a stopped gateway reports that it is not ready and completes its requests
    Given a users' fleet of 1 service replicas, 0 engines and 2 gateway
    And the replicas need 1500 ms for a request
    When the first gateway is stopped while 5 orders run
    Then every answer is whole
    And the gateway reported that it was not ready and has exited

  Scenario: a request on a kept-alive connection long after the stop signal is refused
    Given a users' fleet of 1 service replicas, 1 engines and 1 gateway
    When a caller's stream goes on after the stop signal and an order follows on its connection
    Then the stream is whole and the order is refused, without having run

  Scenario: a gateway without a configuration is not ready and refuses orders
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When another gateway starts while the store is unavailable
    Then that gateway is not ready and refuses an order with 503

  Scenario Outline: a gateway with <fault> in its settings file exits and names the setting
    When a gateway starts with a settings file with <fault>
    Then it exits at once and names "<field>"

    Examples:
      | fault                 | field                    |
      | no node               | node                     |
      | a bad store address   | platform.address         |
      | no address for callers | listenAddrs.front        |
      | a text as a bound     | bounds.drainMs           |

  Scenario Outline: a reload signal while a <program> starts is handled once it has started
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    When a <program> starts again and gets a reload signal as soon as it takes one
    Then it was not listening yet
    And it handles the signal once it has started

    Examples:
      | program |
      | gateway |
      | steward |

  Scenario: a request that crashes its replicas is refused after 2 crashes, and other requests are served
    Given a users' fleet of 5 service replicas, 0 engines and 2 gateway
    And an order with the body "crash" crashes its replica
    When a caller sends the order "crash" 3 times to each gateway in turn
    Then at most 2 replicas have crashed
    And the last response is a refusal with Retry-After
    And an order with another body is served by each gateway

  Scenario: a request is not suspected when all replicas crash together
    Given a users' fleet of 3 service replicas, 0 engines and 2 gateway
    And the replicas need 1500 ms for a request
    When all replicas crash while 4 orders run at each gateway, and a new replica starts
    And the same order is sent to each gateway once more
    Then every answer is whole
