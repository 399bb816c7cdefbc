add_unit_test(daemon_test SOURCES tests/daemon_test.cc
  LIBRARIES hs_daemon fakes_endpoints fakes_platform)
