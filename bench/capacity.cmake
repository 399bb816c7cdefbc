add_executable(capacity_bench bench/capacity_bench.cc bench/capacity_rig.cc)
target_link_libraries(capacity_bench PRIVATE hs_peers hs_decisions)
