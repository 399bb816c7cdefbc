add_package(platform hs_decisions PkgConfig::SOUP)
target_link_options(hs_platform INTERFACE LINKER:--undefined=kHickorystandEtcdStore)
