add_unit_test(relay_test SOURCES tests/relay_test.cc LIBRARIES hs_adapter)
