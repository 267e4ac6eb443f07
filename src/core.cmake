# The decision core of one entry VM.
mulberry_library(mulberry_core
  SOURCES model_entry.cpp vm_core.cpp vm_core_cluster.cpp
          vm_core_counts.cpp
  LINK mulberry_policy mulberry_dispatch mulberry_ownership
       mulberry_configuration mulberry_services mulberry_quarter)
# Fixed seeds: the properties reach the same verdict in each run. More of the
# schedules run beside the rest of the program.
mulberry_test(core_test
  SOURCES core_simulation.cpp core_network.cpp core_traffic.cpp core_engine.cpp
          core_invariants.cpp fake_table.cpp history.cpp core_proof_test.cpp
          model_entry_test.cpp
  LINK mulberry_core
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=600")
if(BUILD_TESTING)
  foreach(seed IN ITEMS 2 3 4 5)
    add_test(NAME core_proof_seed_${seed} COMMAND core_test [proof])
    set_tests_properties(core_proof_seed_${seed} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=${seed} max_success=600")
  endforeach()
  add_test(NAME core_proof_early_kill
    COMMAND core_test "an intent of a killed owner leaves the row")
endif()
