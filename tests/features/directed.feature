Feature: Single failures, step by step

  Scenario: accepted configuration reaches a node that is cut off from the log
    Given a simulated deployment of 5 nodes
    And node 4 is cut off from the log
    When an operator publishes a change
    And the log goes down
    Then the change is in force on every node within 6 seconds

  Scenario: a node that restarts while the log is down takes the configuration from its peers
    Given a simulated deployment of 5 nodes
    When an operator publishes a change
    And the log goes down
    And node 2 is killed and starts again
    Then node 2 becomes ready with the published change within 10 seconds

  Scenario: a lone node that starts while the log is down does not become ready
    Given a simulated deployment of 1 nodes
    When the log goes down
    And node 0 is killed and starts again
    Then node 0 is not ready after 30 seconds

  Scenario: racing operators with the same expected revision
    Given a simulated deployment of 3 nodes
    When 3 operators publish from the same revision at once
    Then one is told "accepted" and 2 are told "conflict"

  Scenario: a publish whose reply was lost is repeated
    Given a simulated deployment of 3 nodes
    And the log loses the next 1 replies
    When an operator publishes a change
    And the operator publishes the same change again
    Then both answers name the same revision

  Scenario: with every engine failing, tries stay within the retry budget
    Given a simulated deployment of 3 nodes
    When every engine breaks each stream at once
    And 200 live requests are asked
    Then there are at most 1.1 tries a request
    And every refusal comes within 1 seconds and says when to come back

  Scenario: a keyed request while the log is down is refused at once
    Given a simulated deployment of 3 nodes
    When the log goes down
    And 10 seconds pass
    And a keyed request is sent
    Then it is told "not_run" within 1 seconds, with a time to come back
    And it did not run

  Scenario: two callers with one key and different requests
    Given a simulated deployment of 3 nodes
    When a keyed request is sent
    And another request is sent under the same key
    Then the second is told "conflict"

  Scenario: live requests keep their latency while rollout fills the fleet
    Given the live latency without rollout
    And the live latency while rollout fills the fleet
    Then the second p99 is at most 1.25 times the first

  Scenario: one cell watches the weight store for all
    Given a simulated deployment of 3 nodes
    And its fleet has 8 engines in 4 cells
    When new weights are published
    Then every engine has them within 6 seconds
    And the store was read at most 4 times a second

  Scenario: new weights reach every cell though the watching owner dies
    Given a simulated deployment of 3 nodes
    And its fleet has 8 engines in 4 cells
    When the owner of the first cell is killed
    And new weights are published
    Then every engine has them within 25 seconds
