set(policy_libraries hs_decisions)
add_unit_test(policy_test SOURCES tests/policy_test.cc LIBRARIES ${policy_libraries})
