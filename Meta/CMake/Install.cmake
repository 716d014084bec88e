# Installs the programs, the libraries with their headers, and a CMake package for projects that embed the libraries.
include(GNUInstallDirs)
get_property(libraries GLOBAL PROPERTY SASSAFRASSHIFT_LIBRARIES)
install(TARGETS sassafrasshiftd sassafrasshift RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(TARGETS ${libraries} EXPORT sassafrasshiftTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR}/sassafrasshift)
install(DIRECTORY ${CMAKE_SOURCE_DIR}/Libraries/ DESTINATION include/sassafrasshift FILES_MATCHING PATTERN "*.h")
install(DIRECTORY ${CMAKE_SOURCE_DIR}/Base/ DESTINATION ${CMAKE_INSTALL_DATADIR}/sassafrasshift)
install(EXPORT sassafrasshiftTargets NAMESPACE sassafrasshift:: FILE sassafrasshiftConfig.cmake
    DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/sassafrasshift)
