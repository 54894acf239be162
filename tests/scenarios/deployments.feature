Feature: Both deployments keep their promises while hosts come and go

  Scenario Outline: A guide's lookup is answered although an instance dies
    Given the <deployment> deployment with one service
    When an instance dies
    Then 30 lookups are all answered whole

    Examples:
      | deployment |
      | buzulip    |
      | karoo      |

  Scenario Outline: An upstream drains
    Given the <deployment> deployment with one service
    When an instance drains while lookups go on
    Then it got no new work 3 seconds after that
    And every lookup was answered

    Examples:
      | deployment |
      | buzulip    |
      | karoo      |

  Scenario Outline: A rolling restart of all nodes under load
    Given the <deployment> deployment with one service
    When all nodes are restarted one after the other while orders and lookups go on
    Then every lookup was answered
    And every order ran once

    Examples:
      | deployment |
      | buzulip    |
      | karoo      |

  Scenario: Two teams change their sections at the same moment
    Given the buzulip deployment with one service
    When two teams each accept a new section at the same moment
    Then both sections are in force in all nodes

  Scenario: The store is down through an acceptance
    Given the buzulip deployment with one service
    When the store goes down and a team accepts a section
    Then the team is told that nothing was accepted
    And the old document is in force in all nodes
