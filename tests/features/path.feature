Feature: One request from a caller to an upstream and back

  Background:
    Given a small deployment with every model reachable

  Scenario Outline: A request gets the complete answer of the model that it names
    When a caller asks <target> for a <shape> answer
    Then the answer is exactly what the upstream generates for that request

    Examples:
      | target    | shape    |
      | drafter-a | streamed |
      | drafter-a | whole    |
      | council-a | streamed |
      | council-a | whole    |

  Scenario: A request for a model that is not configured is refused
    When a caller asks nonesuch for a whole answer
    Then the refusal has the code unknown_model and is marked as not run

  Scenario: A posting to a plain service runs once
    When a caller posts to the ledger with one idempotency key
    Then the ledger has run the posting once
