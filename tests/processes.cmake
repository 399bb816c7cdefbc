# Real processes on loopback ports from 18000 on; waits on conditions, not times.
add_test(NAME process_test COMMAND ${CMAKE_SOURCE_DIR}/tests/processes ${CMAKE_BINARY_DIR})
set_tests_properties(process_test PROPERTIES TIMEOUT 900)
# One crowd at a time, on ports from 19000 on.
add_executable(crowd tests/crowd.cc)
target_link_libraries(crowd PRIVATE hs_http)
add_test(NAME crowds COMMAND ${CMAKE_SOURCE_DIR}/tests/crowds ${CMAKE_BINARY_DIR})
set_tests_properties(crowds PROPERTIES TIMEOUT 900 RUN_SERIAL TRUE)
