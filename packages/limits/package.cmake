add_package(limits hs_decisions hs_kernel hs_peers hs_platform)
