add_package(decisions hs_kernel)
