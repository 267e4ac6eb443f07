# Ids, time, the closed list of error kinds, running quantiles.
mulberry_library(mulberry_base
  SOURCES error_kind.cpp latency_meter.cpp
  LINK Boost::headers)
mulberry_test(base_test SOURCES error_kind_test.cpp latency_meter_test.cpp
  LINK mulberry_base)
