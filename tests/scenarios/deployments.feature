Feature: Both deployments keep their guarantees while hosts join, leave and fail

  Scenario Outline: Lookups get responses although an instance crashes
    Given the <deployment> deployment with one service
    When an instance crashes
    Then 30 lookups all get complete responses

    Examples:
      | deployment |
      | buzulip    |
      | karoo      |

  Scenario Outline: An upstream drains under load
    Given the <deployment> deployment with one service
    When an instance drains while lookups are sent
    Then it receives no new requests from 3 seconds after the drain
    And every lookup got a response

    Examples:
      | deployment |
      | buzulip    |
      | karoo      |

  Scenario Outline: A rolling restart of all nodes under load
    Given the <deployment> deployment with one service
    When all nodes are restarted one after the other while orders and lookups are sent
    Then every lookup got a response
    And every order ran once

    Examples:
      | deployment |
      | buzulip    |
      | karoo      |

  Scenario: Two teams change their sections at the same time
    Given the buzulip deployment with one service
    When two teams each accept a new section at the same time
    Then both sections are in force in all nodes

  Scenario: A section is accepted while the store is unavailable
    Given the buzulip deployment with one service
    When the store is unavailable and a team accepts a section
    Then the team gets an error that the store is unavailable
    And the old document is in force in all nodes
