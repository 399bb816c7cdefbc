add_unit_test(policy_test SOURCES tests/policy_test.cc tests/policy_parts_test.cc LIBRARIES hs_decisions)
add_unit_test(policy_properties_test SOURCES tests/policy_properties_test.cc LIBRARIES hs_decisions rapidcheck)
set_tests_properties(policy_properties_test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=7 max_success=60")
add_unit_test(policy_bench_test SOURCES tests/policy_bench_test.cc LIBRARIES policy_bench_parts)
