# The daemon: the decision core's shell.
mulberry_library(mulberry_text
  SOURCES json_text.cpp
  LINK jsoncpp)
target_include_directories(mulberry_text SYSTEM PUBLIC /usr/include/jsoncpp)
mulberry_library(mulberry_shell
  SOURCES log.cpp timeline.cpp kernel.cpp pending_answers.cpp request_intake.cpp
          peer_codec.cpp stream_observer.cpp response_observer.cpp
          http_engine_port.cpp http_platform_port.cpp http_service_port.cpp
          http_peer_port.cpp error_page.cpp completion_request.cpp
          completion_answer.cpp metrics_text.cpp rpc_executor.cpp caller_listener.cpp
          peer_listener.cpp operator_listener.cpp decision_loop.cpp daemon.cpp
  LINK mulberry_core mulberry_net mulberry_text Boost::log)
add_executable(mulberryd ${CMAKE_SOURCE_DIR}/src/mulberryd.cpp)
target_link_libraries(mulberryd PRIVATE mulberry_platform Boost::program_options)
mulberry_test(shell_test
  SOURCES completion_request_test.cpp http_engine_port_test.cpp kernel_test.cpp log_test.cpp peer_codec_test.cpp
          stream_observer_test.cpp timeline_test.cpp
  LINK mulberry_shell)
