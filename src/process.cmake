# The proof on the real processes, with the stand-ins in the place of the
# platform, the engines and the services. One program, one test of ctest's for
# each tag; each case has exactly one tag.
if(BUILD_TESTING)
  add_executable(process_test
    tests/test_main.cpp
    tests/history.cpp
    tests/process_caller.cpp
    tests/process_calls_test.cpp
    tests/process_checker_test.cpp
    tests/process_child.cpp
    tests/process_deployment.cpp
    tests/process_engine_test.cpp
    tests/process_input_test.cpp
    tests/process_operators_test.cpp
    tests/process_record.cpp
    tests/process_table_test.cpp
    tests/process_traffic.cpp
    tests/process_vm_test.cpp)
  target_include_directories(process_test PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(process_test PRIVATE standin_logic mulberry_config)
  set(process_programs
    mulberryd mulberryctl fake_engine fake_platform fake_service fake_link)
  add_dependencies(process_test ${process_programs})
  foreach(program IN LISTS process_programs)
    string(TOUPPER ${program} name)
    target_compile_definitions(process_test
      PRIVATE ${name}="$<TARGET_FILE:${program}>")
  endforeach()
  foreach(tag IN ITEMS calls checker engine input operators table vm)
    add_test(NAME process_${tag} COMMAND process_test "[${tag}]")
    # Each starts seven processes; a few run at a time.
    set_tests_properties(process_${tag} PROPERTIES PROCESSORS 4 TIMEOUT 300)
  endforeach()
endif()
