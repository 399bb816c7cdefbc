add_package(ctl hs_platform)
add_executable(hickoryctl packages/ctl/main/hickoryctl.cc)
target_link_libraries(hickoryctl PRIVATE hs_ctl)
