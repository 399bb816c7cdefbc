add_package(kernel PkgConfig::GLIB PkgConfig::JSON PkgConfig::XXHASH Boost::log Threads::Threads)
add_unit_test(kernel_test SOURCES tests/kernel_test.cc LIBRARIES hs_kernel)
