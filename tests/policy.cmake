set(policy_libraries "$<LINK_LIBRARY:WHOLE_ARCHIVE,hs_decisions>")
add_unit_test(policy_test SOURCES tests/policy_test.cc LIBRARIES ${policy_libraries})
