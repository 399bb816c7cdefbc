add_unit_test(relay_test SOURCES tests/relay_test.cc LIBRARIES hs_adapter)
add_unit_test(fleet_decisions_test SOURCES tests/fleet_decisions_test.cc LIBRARIES hs_decisions)
