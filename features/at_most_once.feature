Feature: A non-idempotent request runs at most once

  Scenario Outline: requests run at most once: <case>
    Given a fleet of 0 engines, 2 services and 2 entries
    When 6 requests are each sent to both entries at once, with fault "<fault>"
    And the fault has ended and every request is sent to both entries again
    Then no request ran twice
    And every request that succeeded ran once
    And every request whose responses all said "not_run" never ran
    And at least <answered> requests succeeded
    And every response came within <limit> ms
    And 3 new requests succeed

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

  Scenario: a resend to another entry gets the stored response
    Given a fleet of 0 engines, 2 services and 2 entries
    When request "r1" is sent to entry 0
    And request "r1" is sent to entry 1
    Then the second response equals the first and is marked as replayed
    And no request ran twice

  Scenario: an idempotency key that is reused with another body is refused
    Given a fleet of 0 engines, 1 services and 1 entries
    When request "r1" is sent to entry 0
    And request "r1" is sent to entry 0 with another body
    Then the second response has status 422, code "key_reused" and verdict "not_run"

  Scenario: claiming and running a request costs two writes and no read
    Given a fleet of 0 engines, 1 services and 1 entries
    When request "warm" is sent to entry 0
    And 40 requests are sent one after another
    Then the key-value service gets at most 2 writes per request and 0 reads

  Scenario: an attempt that is cancelled before its claim never runs
    Given a claim store on a key-value service
    When an entry cancels attempt "a1" of request "k" and then a sidecar claims it
    Then the claim returns "cancelled"
    And the claim of another attempt "a2" is granted
    And cancelling attempt "a2" returns "may_have_run"
    And claiming attempt "a3" returns "in_progress"

  Scenario: a request that was refused as not run does not run later
    Given a fleet of 0 engines, 1 services and 1 entries
    And sidecar 0 is paused
    When request "p" is sent to entry 0
    Then the first response has verdict "not_run"
    And after sidecar 0 is resumed, request "p" has run 0 times

  Scenario Outline: a request that may have run is not reported as not run: <call>
    Given a fleet of 0 engines, 1 services and 1 entries
    And the service takes 600 ms
    When <call> and sidecar 0 is killed while it runs
    Then the first response has verdict "may_have_run"

    Examples:
      | call                              |
      | request "p" is sent to "/publish" |
      | request "p" is sent to "/index"   |

  Scenario: a request succeeds although the response to its claim is lost
    Given a fleet of 0 engines, 1 services and 1 entries
    And the key-value service loses 1 response to a claim
    When request "p" is sent to entry 0
    Then the first response has status 200
    And no request ran twice

  Scenario: a resend while the request runs is refused as unresolved
    Given a fleet of 0 engines, 1 services and 2 entries
    And the service takes 1500 ms
    When request "p" is sent to entry 0 and, while it runs, to entry 1
    Then the first response has status 409, code "prior_attempt_unresolved" and verdict "may_have_run"
    And no request ran twice

  Scenario: a resend of a request whose response was too large to store is told that it completed
    Given a fleet of 0 engines, 1 services and 1 entries
    And the service pads its responses with 400000 bytes
    When request "p" is sent to entry 0
    And request "p" is sent to entry 0
    Then the second response has status 409, code "result_not_kept" and verdict "completed"
    And no request ran twice
