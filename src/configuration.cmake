# The confirmed configuration.
mulberry_library(mulberry_configuration
  SOURCES configuration_keeper.cpp configuration_reader.cpp
          configuration_row.cpp confirm_run.cpp promise_store.cpp
          promise_rules.cpp
  LINK mulberry_config mulberry_safeguards)
# A fixed seed: the properties reach the same verdict in each run.
mulberry_test(configuration_test
  SOURCES configuration_cluster.cpp configuration_keeper_test.cpp
  LINK mulberry_configuration
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=2000")
