# Stand-ins for the platform's services, as a library for tests and for `fakes`.
add_whole_library(fakes_platform
  SOURCES fakes/key_value.cc fakes/key_value_state.cc fakes/platform.cc
  LIBRARIES hs_platform)
target_include_directories(fakes_platform INTERFACE fakes)
target_sources(fakes PRIVATE fakes/platform_command.cc)
target_link_libraries(fakes PRIVATE fakes_platform)
