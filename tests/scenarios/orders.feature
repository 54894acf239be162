Feature: An order runs at most once, and the outcome that its caller gets is correct

  Scenario: A caller sends the same order to two nodes concurrently
    When order "rope-1" is sent to node 1
    And order "rope-1" is sent to node 2
    And 1 second passes
    Then order "rope-1" ran 1 time
    And every caller of "rope-1" got its response or the outcome unknown

  Scenario: A resend after the response gets the recorded response
    When order "rope-2" is sent to node 1
    And 1 second passes
    And order "rope-2" is sent to node 2
    And 1 second passes
    Then order "rope-2" ran 1 time
    And 2 callers of "rope-2" got its response

  Scenario: The same key with another body is rejected
    When order "rope-3" is sent to node 1
    And 1 second passes
    And order "rope-3" with another body is sent to node 2
    And 1 second passes
    Then the last caller of "rope-3" got the outcome not run
    And order "rope-3" ran 1 time

  Scenario: The store is unavailable
    Given the store is unavailable
    When order "flight-1" is sent to node 1
    And 1 second passes
    Then the last caller of "flight-1" got the outcome not run
    And order "flight-1" ran 0 times

  Scenario: The response to the claim's write is lost
    Given the response to the next store call is lost
    When order "flight-2" is sent to node 1
    And 2 seconds pass
    Then order "flight-2" ran 1 time
    And 1 caller of "flight-2" got its response

  Scenario: The claim's write is applied late, after the order's caller got an unknown outcome
    Given the next 3 store calls are applied late
    When order "flight-3" is sent to node 1
    And 60 seconds pass
    Then the last caller of "flight-3" got the outcome unknown
    And order "flight-3" ran 0 times
    When order "flight-3" is sent to node 2
    And 1 second passes
    Then order "flight-3" ran 1 time

  Scenario: A node is paused past its deadline while it holds a claim
    When node 1 is paused
    And order "charge-1" is sent to node 1
    And 10 seconds pass
    And node 1 resumes
    And 10 seconds pass
    Then order "charge-1" ran 0 times
    When order "charge-1" is sent to node 2
    And 1 second passes
    Then order "charge-1" ran 1 time

  Scenario: A node crashes between the claim and the dispatch
    Given the upstream has no free capacity
    When order "charge-2" is sent to node 1
    And 0.5 seconds pass
    And node 1 crashes
    And order "charge-2" is sent to node 2
    And 10 seconds pass
    And order "charge-2" is sent to node 2
    And 1 second passes
    Then order "charge-2" ran 0 times
    And every caller of "charge-2" got the outcome unknown

  Scenario: A node crashes between the dispatch and the outcome
    Given the upstream works for 1 second
    When order "charge-3" is sent to node 1
    And 0.5 seconds pass
    And node 1 crashes
    And 5 seconds pass
    And order "charge-3" is sent to node 2
    And 1 second passes
    Then order "charge-3" ran 1 time
    And every caller of "charge-3" got the outcome unknown

  Scenario: The upstream sheds an order and the caller retries
    Given the upstream sheds the next request
    When order "charge-4" is sent to node 1
    And 1 second passes
    Then the last caller of "charge-4" got the outcome not run
    When order "charge-4" is sent to node 2
    And 1 second passes
    Then order "charge-4" ran 1 time

  Scenario: An auditor traces a key
    When order "audit-1" is sent to node 1
    And 1 second passes
    And order "audit-1" is sent to node 2
    And 1 second passes
    Then the audit entries of "audit-1" contain its node, its instance and 1 resend
