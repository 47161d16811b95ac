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

  # The length of the first replica's response cut the stream off, and it looked complete.
  Scenario: a stream that resumes at a replica is not cut to the length that the first one stated
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And the engines' streams have the fault "a shorter length, cut after an event"
    When a caller sends 2 long drafts
    Then every stream has each event once, in order

  # The next replica's error response was passed on as part of the stream.
  Scenario Outline: an engine that <fault> adds nothing to the stream that it should resume
    Given a users' fleet of 0 service replicas, 2 engines and 1 gateway
    And the replicas' fault is "cut in an event"
    And the engines' streams have the fault "<fault>"
    When a caller sends 2 long drafts
    Then every stream has only events of its own, in order
    And a complete stream has all of its events

    Examples:
      | fault                            |
      | resumes with status 500          |
      | resumes with status 500, no body |
      | resumes with status 404          |
      | resumes with a text              |
      | resumes unsigned                 |
      | resumes at the first event       |
      | resumes with events without ids  |
