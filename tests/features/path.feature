Feature: One request from a caller to an upstream and back

  Background:
    Given a small deployment with every model reachable

  Scenario Outline: A request is answered whole by the model that it names
    When a caller asks <target> for a <shape> answer
    Then the answer is what the upstream makes of that request

    Examples:
      | target    | shape    |
      | drafter-a | streamed |
      | drafter-a | whole    |
      | council-a | streamed |
      | council-a | whole    |

  Scenario: A request for a model that nobody configured is refused
    When a caller asks nonesuch for a whole answer
    Then the refusal says unknown_model and not run

  Scenario: A posting reaches the plain service once
    When a caller posts to the ledger under one key
    Then the ledger has run that key once
