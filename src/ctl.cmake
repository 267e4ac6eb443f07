# mulberryctl, the operators' tool.
mulberry_library(mulberry_ctl
  SOURCES ctl_check.cpp ctl_commands.cpp ctl_confirm.cpp operator_client.cpp
          ctl_explain.cpp ctl_options.cpp ctl_team.cpp ctl_text.cpp
          key_history.cpp request_trace.cpp plan_file.cpp
  LINK mulberry_config mulberry_net mulberry_relay mulberry_text
       Boost::program_options)
add_executable(mulberryctl ${CMAKE_SOURCE_DIR}/src/mulberryctl.cpp)
target_link_libraries(mulberryctl PRIVATE mulberry_ctl mulberry_platform)
mulberry_test(ctl_test SOURCES operator_client_test.cpp ctl_team_test.cpp ctl_test.cpp key_history_test.cpp request_trace_test.cpp LINK mulberry_ctl)
