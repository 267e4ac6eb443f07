# Calls of plain services and the retry budget.
mulberry_library(mulberry_services
  SOURCES claim_store.cpp claim_row.cpp retry_budget.cpp service_caller.cpp
          service_caller_claims.cpp service_caller_replay.cpp
          service_caller_tries.cpp service_picker.cpp write_pacer.cpp
  LINK mulberry_config mulberry_safeguards)
# A fixed seed: the properties reach the same verdict in each run.
mulberry_test(services_test
  SOURCES service_caller_test.cpp service_history_test.cpp service_simulation.cpp
          service_history.cpp retry_budget_test.cpp claim_row_test.cpp
          service_picker_test.cpp
  LINK mulberry_services
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=3000")
