add_package(endpoints hs_decisions hs_http)
