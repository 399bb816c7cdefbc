add_library(promise_world STATIC tests/protocol_simulation.cc tests/simulated_host.cc)
target_link_libraries(promise_world PUBLIC hs_decisions)
target_include_directories(promise_world PUBLIC tests)

add_executable(matrix tests/matrix.cc)
target_link_libraries(matrix PRIVATE promise_world)
add_test(NAME matrix COMMAND matrix --singles)
set_tests_properties(matrix PROPERTIES TIMEOUT 600)

add_executable(soak tests/soak.cc)
target_link_libraries(soak PRIVATE promise_world)
add_test(NAME soak COMMAND soak --hours 2 --seed 1)
set_tests_properties(soak PROPERTIES TIMEOUT 600)

add_unit_test(authority_test SOURCES tests/authority_test.cc LIBRARIES promise_world)
add_unit_test(usage_test SOURCES tests/usage_test.cc LIBRARIES promise_world)
add_unit_test(claims_test SOURCES tests/claims_test.cc LIBRARIES promise_world)
add_unit_test(lease_release_test SOURCES tests/lease_release_test.cc LIBRARIES promise_world)
