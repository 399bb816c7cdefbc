add_package(platform hs_decisions hs_http)
