add_package(daemon hs_relay hs_gateway hs_endpoints hs_limits hs_peers hs_platform hs_decisions)
add_executable(hickorystandd packages/daemon/program/main.cc)
target_link_libraries(hickorystandd PRIVATE hs_daemon hs_adapter)
