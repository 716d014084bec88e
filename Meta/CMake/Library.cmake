# Adds a static library from all .cpp files below the current folder. USES lists the libraries that it may depend on.
function(sassafrasshift_library name)
    cmake_parse_arguments(ARG "" "" "USES" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_SOURCE_DIR}/Libraries>
        $<INSTALL_INTERFACE:include/sassafrasshift>)
    target_link_libraries(${name} PUBLIC ${ARG_USES})
    set_property(GLOBAL APPEND PROPERTY SASSAFRASSHIFT_LIBRARIES ${name})
endfunction()

# Adds the test program of a library, and registers it with CTest under the name of the library.
function(sassafrasshift_test name)
    cmake_parse_arguments(ARG "" "" "USES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
    add_executable(Test${name} ${sources} ${CMAKE_SOURCE_DIR}/Tests/TestMain.cpp)
    set_property(SOURCE ${CMAKE_SOURCE_DIR}/Tests/TestMain.cpp PROPERTY COMPILE_DEFINITIONS BOOST_TEST_MODULE=sassafrasshift)
    target_link_libraries(Test${name} PRIVATE ${ARG_USES} boost_unit_test_framework)
    target_include_directories(Test${name} PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
    target_compile_definitions(Test${name} PRIVATE BOOST_TEST_DYN_LINK
        SOURCE_DIRECTORY="${CMAKE_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND Test${name} --report_level=short)
    # The fixed seed makes every CTest run use the same schedules. For longer searches, SASSAFRASSHIFT_SCHEDULES sets another
    # number of schedules; another seed in RC_PARAMS takes effect only where the test program is run directly.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
