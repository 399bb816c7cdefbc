add_library(policy_bench_parts STATIC bench/policy_engine.cc bench/policy_workload.cc bench/policy_baselines.cc
                                      bench/policy_scenarios.cc bench/policy_fleet.cc)
target_include_directories(policy_bench_parts PUBLIC bench)
target_link_libraries(policy_bench_parts PUBLIC hs_kernel hs_decisions)
add_executable(policy_bench bench/policy_bench.cc)
target_link_libraries(policy_bench PRIVATE policy_bench_parts)
