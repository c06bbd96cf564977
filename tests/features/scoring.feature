Feature: Scores of items
  Four nodes, three workers, two scorers and one trainer run on the virtual clock. Whatever happens, each completed item
  carries a good answer to its own scoring call, which went out after its text was whole and before its batch had ended.

  Scenario: a calm run
    Given a deployment with scoring
    When a trainer asks for 5 steps
    Then every step has its groups within 5 seconds
    And no item is given up
    And nothing is violated

  Scenario Outline: <trouble> while steps are asked
    Given a deployment with scoring
    And <trouble> at 2 seconds
    And <trouble> at 7 seconds
    When a trainer asks for 6 steps
    Then every step has its groups within <limit> seconds
    And nothing is violated

    Examples:
      | trouble                                             | limit |
      | one scorer is dark for 4 s                          | 5     |
      | all scorers are dark for 4 s                        | 8     |
      | scorers fail half of their calls for 4 s            | 5     |
      | answers of scorers are lost for 4 s                 | 7     |
      | a scorer drains                                     | 5     |
      | the owner is killed between text and score          | 9     |
      | the owner is killed between score and listing       | 9     |
      | the store is away for 4 s from the first whole text | 12    |
      | the owner is killed                                 | 9     |
      | the owner is cut from the store for 5 s             | 9     |
      | all nodes are killed                                | 9     |
      | answers of the store are lost for 4 s               | 9     |
      | the store forgets its history                       | 5     |

  Scenario Outline: drawn troubles, seed <seed>
    Given a deployment with scoring and seed <seed>
    And drawn troubles for 30 seconds
    When a trainer asks for 7 steps
    Then nothing is violated

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: a call that fails each time is given up after as many failures as the scorer's route allows
    Given a deployment with scoring
    And the scoring call of item s0g1i1 fails each time
    When a trainer asks for a step and waits 8 seconds for all of it
    Then item s0g1i1 is listed as given up
    And the scoring call of item s0g1i1 was sent 6 times
    And nothing is violated

  Scenario: a batch that is ended while its scorers are dark sends no more calls
    Given a deployment with scoring
    And all scorers are dark for 4 s at 0 seconds
    When a trainer asks for a step, gives up after 2.5 seconds and asks again
    Then nothing is violated

  Scenario Outline: the checkers catch the mistake that <mistake>
    Given a deployment with scoring
    And the mistake that <mistake>
    When a trainer asks for 2 steps
    Then a violation says "<text>"

    Examples:
      | mistake                                  | text                      |
      | items are listed without a score         | has no score              |
      | a score is made up                       | no scorer made the score  |
      | an item gets the score of another        | has the score of          |
      | a call goes out before the text is whole | before the text was whole |

  Scenario: the checkers catch calls that go on after the end of the batch
    Given a deployment with scoring
    And the mistake that calls go on after the end of the batch
    And all scorers are dark for 6 s at 0 seconds
    When a trainer asks for a step, gives up after 1.5 seconds and does not ask again for 8 seconds
    Then a violation says "too long after the end"

  Scenario: no call goes out after the end of a batch
    Given a deployment with scoring
    And all scorers are dark for 6 s at 0 seconds
    When a trainer asks for a step, gives up after 1.5 seconds and does not ask again for 8 seconds
    Then nothing is violated
