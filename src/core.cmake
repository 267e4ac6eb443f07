# The decision core of one entry VM.
mulberry_library(mulberry_core
  SOURCES model_entry.cpp vm_core.cpp
  LINK mulberry_policy mulberry_dispatch mulberry_ownership
       mulberry_configuration mulberry_services mulberry_quarter)
mulberry_test(core_test
  SOURCES core_world.cpp core_network.cpp core_traffic.cpp core_engine.cpp
          core_promises.cpp fake_table.cpp history.cpp core_proof_test.cpp
  LINK mulberry_core)
# A fixed seed: the properties reach the same verdict in each run.
set_tests_properties(core_test PROPERTIES
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=1000")
