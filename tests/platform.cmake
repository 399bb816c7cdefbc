add_unit_test(platform_test SOURCES tests/platform_test.cc LIBRARIES fakes_platform)
add_unit_test(configuration_test SOURCES tests/configuration_test.cc
  LIBRARIES fakes_platform rapidcheck)
add_unit_test(replica_test SOURCES tests/replica_test.cc LIBRARIES fakes_platform)
add_unit_test(ctl_test SOURCES tests/ctl_test.cc LIBRARIES hs_ctl fakes_platform)
target_compile_definitions(ctl_test PRIVATE HICKORYSTAND_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
add_unit_test(request_trace_test SOURCES tests/request_trace_test.cc LIBRARIES hs_ctl)
set_tests_properties(configuration_test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20260131")
