Feature: A non-idempotent request runs at most once

  Scenario Outline: <case>
    Given a fleet of 0 engines, 2 services and 2 entries
    When 6 orders are published on both entries at once, with fault "<fault>"
    And the fault is over and every order is sent again on both entries
    Then no order ran twice
    And every order with an answer of the service ran once
    And every order whose answers were all "not run" never ran
    And at least <answered> orders have an answer of the service
    And every final answer came within <limit> ms
    And 3 new orders are answered

    Examples:
      | case                                           | fault                 | answered | limit |
      | no fault                                       | none                  | 6        | 2000  |
      | answer to the claim lost                       | lose 1 claim answer   | 6        | 3000  |
      | answers to many claims lost                    | lose 9 claim answers  | 6        | 3000  |
      | key-value service refuses                      | key-value refuses     | 6        | 2500  |
      | key-value service hangs                        | key-value hangs       | 5        | 9000  |
      | key-value service slow                         | key-value slow        | 6        | 9000  |
      | key-value service lost before the answer is stored | key-value lost midway | 0    | 9000  |
      | sidecar killed midway                          | kill sidecar midway   | 0        | 9000  |
      | sidecar paused before, continued after         | pause sidecar         | 6        | 9000  |
      | sidecar paused midway, continued after         | pause sidecar midway  | 0        | 9000  |
      | entry killed midway                            | kill entry midway     | 0        | 9000  |
      | service cuts its answers                       | service cuts          | 0        | 9000  |
      | service refuses at first                       | service refuses       | 6        | 9000  |
      | service killed midway                          | kill service midway   | 0        | 9000  |
      | sidecar paused while claims lose their answers | pause and lose        | 5        | 9000  |

  Scenario: a resend gets the stored answer wherever it lands
    Given a fleet of 0 engines, 2 services and 2 entries
    When the order "r1" is published on entry 0
    And the order "r1" is published on entry 1
    Then the second answer is the first, marked as replayed
    And no order ran twice

  Scenario: a key with another body is refused
    Given a fleet of 0 engines, 1 services and 1 entries
    When the order "r1" is published on entry 0
    And the order "r1" is published on entry 0 with another body
    Then the second answer is 422 "key_reused" and "not_run"

  Scenario: a claim costs two writes and no read
    Given a fleet of 0 engines, 1 services and 1 entries
    When the order "warm" is published on entry 0
    And 40 orders are published one after another
    Then they cost at most 2 writes each and 0 reads

  Scenario: cancelling before the claim makes "not run" certain
    Given a claim store on a key-value service
    When an entry cancels attempt "a1" of order "k" and then a sidecar claims it
    Then the claim is "cancelled"
    And another attempt "a2" is granted
    And a cancel of attempt "a2" says "may_have_run"
    And a claim of attempt "a3" says "in_progress"

  Scenario: what was refused as not run does not run later
    Given a fleet of 0 engines, 1 services and 1 entries
    And sidecar 0 is paused
    When the order "p" is published on entry 0
    Then the first answer says "not_run"
    And after sidecar 0 goes on the order "p" has run 0 times

  Scenario Outline: what may have run is not called not run: <call>
    Given a fleet of 0 engines, 1 services and 1 entries
    And the service takes 600 ms
    When <call> while sidecar 0 is killed midway
    Then the first answer says "may_have_run"

    Examples:
      | call                                |
      | the order "p" is sent to "/publish" |
      | the order "p" is sent to "/index"   |

  Scenario: a lost answer to the claim costs the caller nothing
    Given a fleet of 0 engines, 1 services and 1 entries
    And the key-value service loses 1 answer to claims
    When the order "p" is published on entry 0
    Then the first answer is 200
    And no order ran twice

  Scenario: a resend while the order runs is told so
    Given a fleet of 0 engines, 1 services and 2 entries
    And the service takes 1500 ms
    When the order "p" is published on entry 0 and, while it runs, on entry 1
    Then the first answer is refused with 409 "prior_attempt_unresolved" and "may_have_run"
    And no order ran twice

  Scenario: a resend after an answer too large to keep is told that it ran
    Given a fleet of 0 engines, 1 services and 1 entries
    And the service pads its answers with 400000 bytes
    When the order "p" is published on entry 0
    And the order "p" is published on entry 0
    Then the second answer is 409 "result_not_kept" and "completed"
    And no order ran twice
