# Ids, time and the closed list of error kinds.
mulberry_library(mulberry_base SOURCES error_kind.cpp)
mulberry_test(base_test SOURCES error_kind_test.cpp LINK mulberry_base)
