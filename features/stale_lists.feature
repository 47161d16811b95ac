Feature: What a gateway does with an old list of replicas

  # A gateway that had stood still sent requests by its old list before it read the changes.
  Scenario Outline: <what> wait for a newer list when <which> has stood still
    Given a users' fleet of 2 service replicas, 2 engines and 3 gateway
    When the first <replica> leaves while <which> stands still for 3500 ms, and 30 <what> follow
    Then none of them reached a replica that had left
    And every answer is whole

    Examples:
      | what   | replica         | which                 |
      | orders | service replica | the planner's gateway |
      | orders | service replica | another gateway       |
      | drafts | engine          | the planner's gateway |
      | drafts | engine          | another gateway       |
