add_package(daemon hs_gateway hs_endpoints hs_peers hs_platform hs_decisions PkgConfig::SOUP)
