Feature: An order runs at most once, and what its caller is told is true

  Scenario: A hut keeper sends the same order to two nodes
    When order "rope-1" is sent to node 1
    And order "rope-1" is sent to node 2
    And 1 second passes
    Then order "rope-1" ran 1 time
    And every caller of "rope-1" got its answer or was told that it is in progress

  Scenario: A resend after the answer gets the recorded answer
    When order "rope-2" is sent to node 1
    And 1 second passes
    And order "rope-2" is sent to node 2
    And 1 second passes
    Then order "rope-2" ran 1 time
    And 2 callers of "rope-2" got its answer

  Scenario: The same key with another body is refused
    When order "rope-3" is sent to node 1
    And 1 second passes
    And order "rope-3" with another body is sent to node 2
    And 1 second passes
    Then the last caller of "rope-3" was told not run
    And order "rope-3" ran 1 time

  Scenario: The store is down
    Given the store is down
    When order "flight-1" is sent to node 1
    And 1 second passes
    Then the last caller of "flight-1" was told not run
    And order "flight-1" ran 0 times

  Scenario: The answer of the claim's write is lost
    Given the next store call is lost after it took effect
    When order "flight-2" is sent to node 1
    And 2 seconds pass
    Then order "flight-2" ran 1 time
    And 1 caller of "flight-2" got its answer

  Scenario: The claim's write lands late, after its caller was told that it is unknown
    Given the next 3 store calls land late
    When order "flight-3" is sent to node 1
    And 60 seconds pass
    Then the last caller of "flight-3" was told unknown
    And order "flight-3" ran 0 times
    When order "flight-3" is sent to node 2
    And 1 second passes
    Then order "flight-3" ran 1 time

  Scenario: A node is paused past its deadline while it holds a claim
    When node 1 is paused
    And order "charge-1" is sent to node 1
    And 10 seconds pass
    And node 1 wakes
    And 10 seconds pass
    Then order "charge-1" ran 0 times
    When order "charge-1" is sent to node 2
    And 1 second passes
    Then order "charge-1" ran 1 time

  Scenario: A node crashes between the claim and the dispatch
    Given the upstream has no room
    When order "charge-2" is sent to node 1
    And 0.5 seconds pass
    And node 1 crashes
    And order "charge-2" is sent to node 2
    And 10 seconds pass
    And order "charge-2" is sent to node 2
    And 1 second passes
    Then order "charge-2" ran 0 times
    And every caller of "charge-2" was told unknown

  Scenario: A node crashes between the dispatch and the outcome
    Given the upstream works for 1 second
    When order "charge-3" is sent to node 1
    And 0.5 seconds pass
    And node 1 crashes
    And 5 seconds pass
    And order "charge-3" is sent to node 2
    And 1 second passes
    Then order "charge-3" ran 1 time
    And every caller of "charge-3" was told unknown

  Scenario: The upstream declines and the caller sends again
    Given the upstream declines the next request
    When order "charge-4" is sent to node 1
    And 1 second passes
    Then the last caller of "charge-4" was told not run
    When order "charge-4" is sent to node 2
    And 1 second passes
    Then order "charge-4" ran 1 time

  Scenario: An auditor follows a key
    When order "audit-1" is sent to node 1
    And 1 second passes
    And order "audit-1" is sent to node 2
    And 1 second passes
    Then the trail of "audit-1" names its node, its instance and 1 resend
