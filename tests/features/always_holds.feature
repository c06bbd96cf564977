Feature: What must always hold, under failure
  Each scenario draws faults from its seed and checks every property over the record of the run.
  With the scenario's own mechanism switched off, the checker named must fail.

  Scenario Outline: nothing is broken by <scenario>
    Given the scenario "<scenario>"
    When the seeds <seeds> are run
    Then no property is broken

    Examples:
      | scenario        | seeds |
      | swaps           | 1, 2  |
      | stale_samples   | 0, 3  |
      | owner_troubles  | 0, 1  |
      | engine_troubles | 0, 1  |
      | everything_down | 0, 1  |
      | lost_answers    | 0, 1  |
      | ledger_troubles | 6, 21 |
      | leaving         | 2, 3  |
      | planned_stops   | 1, 2  |
      | configuration   | 8, 94 |
      | chaos           | 0, 45 |

  Scenario Outline: without its mechanism <scenario> breaks <property>
    Given the scenario "<scenario>"
    And the mechanism is replaced by "<mutation>"
    Then one of the first 20 seeds breaks the property "<property>"

    Examples:
      | scenario        | mutation                  | property      |
      | swaps           | one_version_a_stream      | true_versions |
      | stale_samples   | age_by_newest_segment     | staleness     |
      | owner_troubles  | send_before_read_back     | exactly_once  |
      | engine_troubles | no_stream_checks          | whole_answer  |
      | everything_down | last_error_decides        | not_run       |
      | lost_answers    | lost_reply_is_not_run     | not_run       |
      | ledger_troubles | dispatch_before_read_back | at_most_once  |
      | leaving         | endless_leases            | leaving       |
      | planned_stops   | stop_without_waiting      | planned_stop  |
      | configuration   | apply_without_copies      | configuration |
