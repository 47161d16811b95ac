Feature: Requests are accepted by the keys of organisations

  # A key that reached a replica could be read there, and a forged name would be believed.
  Scenario Outline: a request with <header> gets <status>, and its replica is told <told>
    Given a users' fleet with organisations
    When a caller with <header> sends <what>
    Then its status is <status>, and the replica was told <told>
    And no replica has seen a key, and no log names one

    Examples:
      | what              | header                               | status | told     |
      | an order          | the key of anga                      | 200    | anga     |
      | an order          | the key of kōwhai                    | 200    | kōwhai   |
      | an order          | the second key of anga               | 200    | anga     |
      | an order          | the scheme in upper case             | 200    | anga     |
      | an order          | a key and a forged name              | 200    | anga     |
      | a draft           | a key and a forged name              | 200    | anga     |
      | a read            | a key and a forged name              | 200    | no name  |
      | a read            | no key                               | 200    | no name  |
      | an order          | no key                               | 401    | nothing  |
      | an order          | an unknown key                       | 401    | nothing  |
      | an order          | a key of two organisations           | 401    | nothing  |
      | an order          | another scheme                       | 401    | nothing  |
      | an order          | two keys                             | 401    | nothing  |
      | an order          | a key with other bytes               | 401    | nothing  |
      | an order          | an empty key                         | 401    | nothing  |
      | a large order     | an unknown key                       | 401    | nothing  |
      | an unknown path   | no key                               | 404    | nothing  |

  # Deployments without organisations use these headers for their own purposes.
  Scenario: without organisations the headers of callers pass through
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When a caller with a key and a forged name sends an order
    Then its status is 200, and the replica was told forged
    And the replica has seen the key

  # An endless body would otherwise be read up to its limit for a caller that may send nothing.
  Scenario: a request without a key is answered before its body has arrived
    Given a users' fleet with organisations
    When a caller sends the head of an order without a key
    Then it gets 401 within 500 ms

  # The version that brings a key brings it at every gateway, and no older one takes it back.
  Scenario: keys are added and removed with their version, and accepted requests complete
    Given a users' fleet with organisations
    When an order of anga takes 1500 ms, and anga's keys are replaced
    Then the new key is accepted and the old one gets 401 at every gateway within 2000 ms
    And the order that was accepted before is complete
    When all gateways are killed and restarted
    Then the new key is accepted and the old one gets 401 at every gateway within 8000 ms

  # With the store away, the key may have been added since.
  Scenario Outline: a gateway <state> answers an unknown key with <status>
    Given a users' fleet with organisations
    When the gateway is <state>
    And a caller with an unknown key sends an order
    Then its status is <status>, and the replica was told nothing
    And its Retry-After is <retry>

    Examples:
      | state                                       | status | retry    |
      | cut off from the store for 1000 ms          | 401    | absent   |
      | cut off from the store for 3500 ms          | 503    | positive |
      | restarted without a store                   | 503    | positive |

  # The active configuration is kept, and the log helps without quoting a key.
  Scenario Outline: a configuration with <fault> is not applied
    Given a users' fleet with organisations
    When a configuration with <fault> is written
    Then the log of the gateway names "<named>"
    And a caller with the key of anga is served

    Examples:
      | fault                        | named             |
      | a name with a line break     | tenants.0.name    |
      | a key that is a number       | tenants.0.apiKeys |
      | text after the document      | not valid JSON    |

  # 30,000 keys are about 1.2 MB; reading them must not hold up requests or their own changes.
  Scenario: a configuration with 1.2 MB of keys is in force within 3000 ms
    Given a users' fleet with organisations
    When the keys of anga are replaced by 30000
    Then the last of them is accepted at every gateway within 3000 ms

  # Decisions without a network.
  Scenario Outline: a gateway whose configuration is <age> ms old, <newer> newer one announced, answers <answer>
    Then a request without a valid key is answered <answer> at <age> ms with <newer> newer one announced

    Examples:
      | age   | newer | answer          |
      | 0     | no    | unauthenticated |
      | 2999  | no    | unauthenticated |
      | 3000  | no    | config_outdated |
      | 60000 | no    | config_outdated |
      | 0     | a     | config_outdated |

  # A key removed while a body was read cut off a request that had been accepted.
  Scenario Outline: a request accepted as <accepted> and then checked as <newest> counts as <result>
    Then a request accepted as <accepted> and then checked as <newest> counts as <result>

    Examples:
      | accepted     | newest       | result       |
      | anga         | unidentified | anga         |
      | anga         | kōwhai       | anga         |
      | anga         | not_required | anga         |
      | not_required | unidentified | anonymous    |
      | not_required | kōwhai       | kōwhai       |
      | anonymous    | unidentified | anonymous    |
      | anonymous    | not_required | anonymous    |
      | unchecked    | unidentified | unidentified |
      | unchecked    | kōwhai       | kōwhai       |

  # The route's priority went before that of the organisation.
  Scenario: the organisation's priority goes before the route's in the queue and on replicas
    Then these requests are served in this order, by priorities of organisation and route
      | organisation | route | on the replica |
      | 0            | 0     | 0              |
      | 0            | 1     | 1              |
      | 0            | 5     | 2              |
      | 1            | 0     | 3              |
      | 1            | 2     | 5              |
      | 2            | 0     | 6              |
      | 3            | 0     | 9              |
      | 8            | 1     | 9              |

  # A gateway with a silent connection to the store answered 401 to a key that had been added.
  Scenario: a newer configuration counts as announced from the report of another gateway until it is read
    Then a newer configuration counts as announced only between its report and its read
