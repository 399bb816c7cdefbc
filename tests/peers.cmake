add_unit_test(peers_test SOURCES tests/peers_test.cc LIBRARIES hs_peers)
