add_package(relay hs_decisions hs_http hs_limits hs_peers hs_platform)
