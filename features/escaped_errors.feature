Feature: An unexpected error in one request's work ends nobody else's

  Scenario Outline: a daemon in which errors escape, <barrier> the barrier
    When a program in which errors escape runs <barrier> the barrier
    Then it <outcome>

    Examples:
      | barrier | outcome                                |
      | with    | goes on and has counted and logged two |
      | without | has ended                              |

  Scenario: the programs have the barrier
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    Then the metrics of the gateway and the steward count escaped errors
