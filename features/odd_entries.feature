Feature: Odd entries among those of the replicas

  # One entry that could not be used ended gateways, or hid the changes that came with it.
  Scenario Outline: an entry that has <oddity> costs only itself
    Given a users' fleet of 1 service replicas, 1 engines and 2 gateway
    When an entry that has <oddity> is listed together with a new replica
    Then every gateway goes on without a restart
    And all orders are served, the new replica gets some, and the odd entry none
    When the odd entry is replaced by a good one
    Then the replica that it names gets orders

    Examples:
      | oddity                          |
      | 100000 nested lists             |
      | 100000 nested lists as address  |
      | 100000 nested lists as models   |
      | slots beyond all numbers        |
      | slots of 1e308                  |
      | slots of 2.5                    |
      | slots of 0                      |
      | a start of 1e308                |
      | port 70000                      |
      | port 0                          |
      | port 1e2                        |
      | no port                         |
      | a space in its host             |
      | a slash in its host             |
      | an unclosed bracket in its host |
      | a line break in its id          |
      | bytes that are no text          |

  # A restarted gateway reads all entries at once.
  Scenario: a gateway that starts with odd entries serves
    Given a users' fleet of 1 service replicas, 0 engines and 1 gateway
    When entries of each oddity are listed, and the gateway restarts
    Then all orders are served
