# Declarations, settings, placement and plans: what operators write.
mulberry_library(mulberry_config
  SOURCES adapter_ref.cpp declaration.cpp declaration_reader.cpp
          declaration_text.cpp declaration_writer.cpp json_reader.cpp plan.cpp
          plan_diff.cpp plan_text.cpp placement.cpp settings.cpp
          vm_rank.cpp
  LINK mulberry_base jsoncpp crypto fmt::fmt)
target_include_directories(mulberry_config SYSTEM PUBLIC /usr/include/jsoncpp)
# A fixed seed: the properties reach the same verdict in each run.
mulberry_test(config_test
  SOURCES adapter_ref_test.cpp declaration_test.cpp settings_test.cpp
          placement_test.cpp plan_test.cpp
  LINK mulberry_config
  ENVIRONMENT "RC_PARAMS=seed=1")
