# The relay's decisions: routes, waiting, placing, turning away, orders,
# health, repeats. No I/O.
mulberry_library(mulberry_scheduling
  SOURCES adapter_version_history.cpp adapter_locations.cpp allotment_pool.cpp answer_memory.cpp answered_parts.cpp connection_gate.cpp crash_replicator.cpp crash_record.cpp equal_share_limiter.cpp forwarder_selector.cpp objective_scheduling.cpp
          pooled_limiter.cpp prompt_copy.cpp reader_selector.cpp rejection_guard.cpp
          prefill_rate.cpp relay_request.cpp remote_clock.cpp
          retry_allowance.cpp route_table.cpp row_replica.cpp store_contact.cpp
          service_estimate.cpp service_notices.cpp service_placing.cpp
          service_scheduler.cpp service_shares.cpp service_versions.cpp service_workers.cpp software_versions.cpp start_forecast.cpp startup_hold.cpp stream_records.cpp
          team_directory.cpp token_bucket.cpp unit_forecast.cpp usual_deadline.cpp delay_admission.cpp fair_queue.cpp fair_shares.cpp
          unanswered_orders.cpp wait_breakdown.cpp weight_load_limiter.cpp worker_adapters.cpp worker_health.cpp worker_limiter.cpp worker_limits.cpp worker_memory.cpp worker_notices.cpp worker_reachability.cpp prefill_backlog.cpp
  LINK mulberry_policy)
mulberry_test(scheduling_test
  SOURCES adapter_version_history_test.cpp adapter_locations_test.cpp allotment_pool_test.cpp answer_memory_test.cpp answered_parts_test.cpp connection_gate_test.cpp crash_replicator_test.cpp crash_record_test.cpp crash_world.cpp reader_selector_test.cpp prefill_rate_test.cpp
          pooled_limiter_test.cpp prompt_copy_test.cpp relay_request_test.cpp
          rejection_guard_test.cpp remote_clock_test.cpp retry_allowance_test.cpp route_table_test.cpp
          row_replica_test.cpp store_contact_test.cpp scheduler_world.cpp
          service_leaving_test.cpp service_silence_test.cpp service_load_test.cpp service_backoff_test.cpp service_scheduler_test.cpp service_software_test.cpp service_version_test.cpp software_versions_test.cpp start_forecast_test.cpp startup_hold_test.cpp team_directory_test.cpp team_shares_test.cpp token_bucket_test.cpp unit_forecast_test.cpp usual_deadline_test.cpp
          wait_breakdown_test.cpp worker_adapters_test.cpp worker_health_test.cpp worker_limiter_test.cpp worker_limits_test.cpp worker_memory_test.cpp worker_notices_test.cpp worker_reachability_test.cpp late_order_test.cpp late_request_test.cpp forwarder_selector_test.cpp objective_owner_test.cpp objective_queue_test.cpp objective_scheduling_test.cpp delay_admission_test.cpp fair_queue_test.cpp fair_shares_test.cpp
          prefill_backlog_test.cpp unanswered_orders_test.cpp weight_load_test.cpp
  LINK mulberry_scheduling)
if(BUILD_TESTING)
  # Apart, since it may be listed in KNOWN-RED.txt alone.
  add_test(NAME brittle_fleet_test COMMAND scheduling_test [brittle_fleet])
  add_test(NAME calm_admission_test COMMAND scheduling_test [calm_admission])
endif()
# The relay: callers' requests in, workers' answers out.
mulberry_library(mulberry_relay
  SOURCES answer_gate.cpp answer_matcher.cpp answer_parser.cpp backend_pool.cpp collected_exchange.cpp connect_check.cpp crash_row.cpp crash_detector.cpp event_log.cpp event_splitter.cpp forwarded_call.cpp
          ownership_runner.cpp peer_allotment.cpp peer_grant_request.cpp peer_rows.cpp peer_streams.cpp registry_watch.cpp relay.cpp relay_admission.cpp
          version_records.cpp relay_daemon.cpp software_record.cpp stream_row.cpp stream_row_keeper.cpp stream_row_writer.cpp
          relay_exchange.cpp relay_forwarding.cpp relay_limits.cpp relay_metrics.cpp relay_orders.cpp
          relay_peers.cpp relay_retries.cpp relay_silence.cpp relay_settings.cpp relay_streams.cpp relay_teams.cpp row_mirror.cpp
          row_mirror_peers.cpp store_meter.cpp team_key.cpp
          worker_row_projection.cpp
  LINK mulberry_scheduling mulberry_ownership mulberry_net mulberry_shell)
target_compile_definitions(mulberry_relay PUBLIC ASIO_STANDALONE)
mulberry_test(relay_test
  SOURCES answer_gate_test.cpp answer_matcher_test.cpp answer_parser_test.cpp backend_pool_test.cpp crash_row_test.cpp endless_answer_test.cpp event_log_test.cpp event_splitter_test.cpp forwarded_call_test.cpp
          memory_row_store.cpp version_records_test.cpp ownership_runner_test.cpp peer_allotment_test.cpp
          odd_input_test.cpp peer_grant_request_test.cpp peer_rows_test.cpp
          registry_watch_test.cpp relay_events_test.cpp relay_objective_test.cpp relay_service_kind_test.cpp relay_settings_test.cpp relay_silence_test.cpp relay_software_test.cpp relay_start_test.cpp relay_teams_test.cpp row_mirror_test.cpp software_fleet_test.cpp software_history_test.cpp software_record_test.cpp
          store_meter_test.cpp stream_records_test.cpp stream_row_size_test.cpp stream_rows_test.cpp team_key_test.cpp
  LINK mulberry_relay
  ENVIRONMENT "RC_PARAMS=seed=1")
if(BUILD_TESTING)
  # Apart, since it may be listed in KNOWN-RED.txt alone.
  add_test(NAME unnamed_copies_test COMMAND relay_test [unnamed_copies])
endif()
