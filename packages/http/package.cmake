add_package(http hs_kernel PkgConfig::SOUP)
add_unit_test(http_test SOURCES tests/http_test.cc LIBRARIES hs_http)
add_unit_test(server_framing_test SOURCES tests/server_framing_test.cc LIBRARIES hs_http)
