#The checks that promises rest on, and the relay of one answer.
mulberry_library(mulberry_safeguards SOURCES
                     safeguards.cpp answer_relay.cpp LINK mulberry_config)
