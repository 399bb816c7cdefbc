# Generated code isn't held to the project's warnings.
add_library(hs_peers_wire STATIC packages/peers/gen-cpp/peers_types.cpp)
target_include_directories(hs_peers_wire SYSTEM PUBLIC packages/peers/gen-cpp)
target_compile_options(hs_peers_wire PRIVATE -w)
target_link_libraries(hs_peers_wire PUBLIC PkgConfig::THRIFT)
add_package(peers hs_decisions hs_http hs_kernel hs_peers_wire PkgConfig::GLIB)
