# Real processes on loopback ports from 18000 on; waits on conditions, not times.
add_test(NAME process_test COMMAND ${CMAKE_SOURCE_DIR}/tests/processes ${CMAKE_BINARY_DIR})
set_tests_properties(process_test PROPERTIES TIMEOUT 900)
