Feature: What gateways tell each other

  # Store changes waited behind crash reports, which every gateway answered and wrote to the store.
  Scenario: crash reports of many gateways don't delay store changes
    Given 24 gateways that are linked to the planner's gateway
    When 6 replicas crash while each gateway sends requests with the same prompt parts
    Then no gateway receives more than 29000 bytes a second
    And every replica's change in the store is relayed within 2000 ms
    And every gateway knows how old the relayed changes are
    And every gateway holds the crashing prompt part 3000 ms after the last crash

  # A queue that drops repeated reports must not drop evidence.
  Scenario: reports that pass through a queue leave the same evidence
    Then in 300 random series a receiver of queued reports decides as one that gets each at once
    And in 300 random series no second's reports exceed the byte rate and one report

  # A gateway counted the arrival of a relayed message as contact, however old its contents were.
  Scenario: a gateway that is relayed old changes reads the store itself
    Then a gateway to which changes of 8000 ms before are relayed knows of a leaving replica within 2000 ms

  # A response that waited in a buffer, as while the process stood still, counted as fresh.
  Scenario: what a gateway knows is as old as its request
    Then what a gateway knows is at least 900 ms old after a response that took 900 ms
    And in 300 random cases relayed changes never look fresher than they are
