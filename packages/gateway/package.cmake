add_package(gateway hs_endpoints)
