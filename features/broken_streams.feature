Feature: Streams that break off

  # A stream without a length that ended inside an event reached the caller as complete.
  Scenario Outline: a <kind> that ends inside an event, <framing>, is not complete for the caller
    Given a users' fleet of 0 service replicas, 1 engines and 1 gateway
    And the engines' streams have the fault "<framing>, ends in an event"
    When a caller sends 2 <kind>
    Then no stream is complete
    And every stream has only events of its own, in order

    Examples:
      | kind        | framing   |
      | drafts      | no length |
      | drafts      | chunks    |
      | long drafts | no length |
      | long drafts | chunks    |
