# Membership and ownership of workers.
mulberry_library(mulberry_ownership
  SOURCES lapsed_members.cpp lease_watch.cpp membership.cpp
          owner_choice.cpp ownership_keeper.cpp ownership_rules.cpp
          row_json.cpp
          vm_registration.cpp vm_row.cpp worker_assignment.cpp
          worker_ownership.cpp worker_row.cpp
  LINK mulberry_config mulberry_safeguards)
# A fixed seed: the properties reach the same verdict in each run.
mulberry_test(ownership_test
  SOURCES fake_table.cpp owner_choice_test.cpp ownership_cluster.cpp
          ownership_keeper_test.cpp
          ownership_schedule_test.cpp
  LINK mulberry_ownership
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=1200")
