# The decision core of one entry VM.
mulberry_library(mulberry_core
  SOURCES model_entry.cpp vm_core.cpp
  LINK mulberry_policy mulberry_dispatch mulberry_ownership
       mulberry_configuration mulberry_services)
