# What counts towards the quarterly targets.
mulberry_library(mulberry_quarter
  SOURCES calendar_quarter.cpp quarter_store.cpp quarter_counts.cpp
          quarter_forecast.cpp quarter_ledger.cpp quarter_row.cpp
  LINK mulberry_ownership)
# A fixed seed: the properties reach the same verdict in each run.
mulberry_test(quarter_test
  SOURCES fake_table.cpp quarter_store_test.cpp quarter_row_test.cpp
          quarter_world.cpp
  LINK mulberry_quarter
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=1000")
