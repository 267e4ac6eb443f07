# The owner's side of a worker.
mulberry_library(mulberry_dispatch
  SOURCES worker_dispatcher.cpp dispatch_core.cpp adapter_loader.cpp
          adapter_slots.cpp application_usage.cpp dispatch_meter.cpp
          request_queue.cpp stream_table.cpp
  LINK mulberry_policy mulberry_safeguards)
mulberry_test(dispatch_test
  SOURCES answer_relay_test.cpp application_usage_test.cpp
          worker_dispatcher_test.cpp worker_eviction_test.cpp
          dispatch_schedule_test.cpp dispatch_schedule.cpp history.cpp
  LINK mulberry_dispatch
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=5000")
