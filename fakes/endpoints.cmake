# Stand-ins for engines and plain services, as a library for tests and benches.
add_whole_library(fakes_endpoints
  SOURCES fakes/engine.cc fakes/engine_batch.cc fakes/order_handler.cc fakes/plain_service.cc
  LIBRARIES hs_endpoints)
target_include_directories(fakes_endpoints INTERFACE fakes)

# The program `fakes`. A stand-in adds its subcommand with target_sources(); it
# registers itself, see subcommand.h.
add_executable(fakes fakes/main.cc fakes/engine_command.cc fakes/plain_command.cc)
target_link_libraries(fakes PRIVATE fakes_endpoints)
add_unit_test(endpoints_test SOURCES tests/endpoints_test.cc LIBRARIES fakes_endpoints)
add_unit_test(gateway_test SOURCES tests/gateway_test.cc LIBRARIES fakes_endpoints hs_gateway)
# The same stories under the policy that hosts run by default.
add_test(NAME gateway_policy_test COMMAND gateway_test -sg Gateway -sg GatewayLimits)
set_tests_properties(gateway_policy_test PROPERTIES TIMEOUT 600
  ENVIRONMENT HICKORYSTAND_DISPATCHER=hickorystand)
