# gw_module(NAME SOURCES ... LIBRARIES ...) declares the static library of one module.
function(gw_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    target_link_libraries(${name} PUBLIC ${ARG_LIBRARIES})
endfunction()

# gw_program(NAME SOURCES ... LIBRARIES ...) declares an executable in build/bin.
function(gw_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES})
endfunction()

# gw_tests(NAME SOURCES ... LIBRARIES ...) declares one Catch2 program as one test of ctest.
function(gw_tests name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBRARIES" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE -Wall -Wextra -Werror)
    target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES} testing)
    add_test(NAME ${name} COMMAND ${name} --order lex)
    # Property tests (rapidcheck) use a fixed seed.
    set_tests_properties(${name} PROPERTIES TIMEOUT 600 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
