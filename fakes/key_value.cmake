# Stand-ins for the platform's services, as a library for tests and for `fakes`.
add_library(fakes_platform STATIC fakes/key_value.cc fakes/key_value_state.cc)
target_include_directories(fakes_platform PUBLIC fakes)
target_link_libraries(fakes_platform PUBLIC hs_platform PkgConfig::SOUP)
