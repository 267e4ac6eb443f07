# Ids, time, the closed list of error kinds, running quantiles.
mulberry_library(mulberry_base
  SOURCES base64.cpp error_kind.cpp latency_meter.cpp
  LINK Boost::headers crypto)
mulberry_test(base_test SOURCES base64_test.cpp error_kind_test.cpp latency_meter_test.cpp
  LINK mulberry_base)
