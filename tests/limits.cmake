add_unit_test(limits_test SOURCES tests/limits_test.cc LIBRARIES limit_world rapidcheck)
set_tests_properties(limits_test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=150")
add_unit_test(limits_search_test SOURCES tests/limits_search_test.cc LIBRARIES hs_decisions)
