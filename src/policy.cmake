# Routing policies with their baselines, the view they decide on, the share of
# the weight store's rate.
mulberry_library(mulberry_policy
  SOURCES cluster_view.cpp routing_policy.cpp mulberry_policy.cpp
          adapter_demand.cpp fill_order.cpp worker_ring.cpp
          baseline_policies.cpp load_budget.cpp
  LINK mulberry_config)
# A fixed seed: the properties reach the same verdict in each run.
mulberry_test(policy_test
  SOURCES cluster_view_test.cpp routing_policy_test.cpp load_budget_test.cpp
  LINK mulberry_policy
  ENVIRONMENT "RC_PARAMS=seed=1 max_success=300")
