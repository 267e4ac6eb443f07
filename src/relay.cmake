# The relay's decisions: routes, waiting, placing, turning away, orders,
# health, repeats. No I/O.
mulberry_library(mulberry_scheduling
  SOURCES adapter_releases.cpp adapter_sightings.cpp allotment_pool.cpp crash_keeper.cpp crash_record.cpp equal_allotment.cpp
          pooled_allotment.cpp prompt_copy.cpp reader_choice.cpp
          reading_pace.cpp relay_request.cpp remote_clock.cpp
          retry_allowance.cpp route_table.cpp row_copy.cpp
          service_estimate.cpp service_notices.cpp service_placing.cpp
          service_scheduler.cpp service_versions.cpp service_workers.cpp start_hold.cpp
          team_directory.cpp token_bucket.cpp
          worker_adapters.cpp worker_health.cpp worker_notices.cpp worker_reading.cpp
  LINK mulberry_policy)
mulberry_test(scheduling_test
  SOURCES adapter_releases_test.cpp adapter_sightings_test.cpp allotment_pool_test.cpp crash_keeper_test.cpp crash_record_test.cpp crash_world.cpp reader_choice_test.cpp reading_pace_test.cpp
          pooled_allotment_test.cpp prompt_copy_test.cpp relay_request_test.cpp
          remote_clock_test.cpp retry_allowance_test.cpp route_table_test.cpp
          row_copy_test.cpp scheduler_world.cpp
          service_leaving_test.cpp service_load_test.cpp service_rest_test.cpp service_scheduler_test.cpp service_version_test.cpp start_hold_test.cpp team_directory_test.cpp token_bucket_test.cpp
          worker_adapters_test.cpp worker_health_test.cpp worker_notices_test.cpp
          worker_reading_test.cpp
  LINK mulberry_scheduling)
# The relay: callers' requests in, workers' answers out.
mulberry_library(mulberry_relay
  SOURCES backend_pool.cpp collected_exchange.cpp crash_row.cpp crash_watch.cpp event_log.cpp event_splitter.cpp
          ownership_runner.cpp peer_allotment.cpp peer_grant_request.cpp peer_rows.cpp registry_watch.cpp relay.cpp relay_admission.cpp
          relay_daemon.cpp
          relay_exchange.cpp relay_metrics.cpp relay_orders.cpp
          relay_peers.cpp relay_settings.cpp relay_teams.cpp row_mirror.cpp
          row_mirror_peers.cpp store_meter.cpp team_key.cpp
          worker_row_projection.cpp
  LINK mulberry_scheduling mulberry_ownership mulberry_net mulberry_shell)
target_compile_definitions(mulberry_relay PUBLIC ASIO_STANDALONE)
mulberry_test(relay_test
  SOURCES backend_pool_test.cpp crash_row_test.cpp event_log_test.cpp event_splitter_test.cpp
          memory_row_store.cpp ownership_runner_test.cpp peer_allotment_test.cpp
          peer_grant_request_test.cpp peer_rows_test.cpp
          registry_watch_test.cpp relay_settings_test.cpp relay_start_test.cpp relay_teams_test.cpp row_mirror_test.cpp
          store_meter_test.cpp team_key_test.cpp
  LINK mulberry_relay
  ENVIRONMENT "RC_PARAMS=seed=1")
