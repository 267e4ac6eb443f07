# HTTP server and client, JSON-RPC and server-sent events.
find_path(JSONCPP_INCLUDE_DIR json/value.h PATH_SUFFIXES jsoncpp REQUIRED)
find_path(JSONRPCCPP_INCLUDE_DIR jsonrpccpp/client.h REQUIRED)
find_library(JSONCPP_LIBRARY jsoncpp REQUIRED)
find_library(JSONRPCCPP_SERVER_LIBRARY jsonrpccpp-server REQUIRED)
find_library(JSONRPCCPP_CLIENT_LIBRARY jsonrpccpp-client REQUIRED)
find_library(JSONRPCCPP_COMMON_LIBRARY jsonrpccpp-common REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)

# libjsonrpccpp 0.7 declares dynamic exception specifications, which C++17
# removed: only this target includes its headers.
mulberry_library(mulberry_rpc_glue
  SOURCES rpc_glue.cpp
  LINK ${JSONRPCCPP_SERVER_LIBRARY} ${JSONRPCCPP_CLIENT_LIBRARY}
       ${JSONRPCCPP_COMMON_LIBRARY} ${JSONCPP_LIBRARY})
set_target_properties(mulberry_rpc_glue PROPERTIES
  CXX_STANDARD 14 CXX_STANDARD_REQUIRED ON)
target_include_directories(mulberry_rpc_glue SYSTEM
  PUBLIC ${JSONCPP_INCLUDE_DIR} PRIVATE ${JSONRPCCPP_INCLUDE_DIR})
target_compile_options(mulberry_rpc_glue PRIVATE -Wno-deprecated)

mulberry_library(mulberry_net
  SOURCES caller_memory.cpp http_message.cpp http_request_limits.cpp
          http_request_receipt.cpp http_server_answer.cpp lingering_close.cpp
          http_server.cpp http_transfer.cpp http_client.cpp json_rpc.cpp
          sse_parser.cpp
  LINK mulberry_base mulberry_rpc_glue CURL::libcurl fmt::fmt
       ${HTTP_PARSER_LIBRARY} Threads::Threads)
target_include_directories(mulberry_net SYSTEM
  BEFORE PRIVATE ${CMAKE_SOURCE_DIR}/third_party_shim)
target_compile_definitions(mulberry_net PRIVATE ASIO_STANDALONE)

# A fixed seed: the properties reach the same verdict in each run.
mulberry_test(net_test
  SOURCES caller_memory_test.cpp http_server_memory_test.cpp http_server_test.cpp http_client_test.cpp json_rpc_test.cpp
          sse_parser_test.cpp bounded_ring_test.cpp
  LINK mulberry_net
  ENVIRONMENT "RC_PARAMS=seed=1")
