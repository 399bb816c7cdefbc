add_unit_test(peers_test SOURCES tests/peers_test.cc LIBRARIES hs_peers)
add_unit_test(peer_group_test SOURCES tests/peer_group_test.cc LIBRARIES hs_peers)
add_unit_test(membership_test SOURCES tests/membership_test.cc LIBRARIES hs_decisions)
add_unit_test(digest_delta_test SOURCES tests/digest_delta_test.cc LIBRARIES hs_decisions rapidcheck)
# Fixed seeds: the verdict is the same every time.
set_tests_properties(digest_delta_test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=2000")
