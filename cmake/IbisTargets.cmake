# Functions that declare libraries, programs and tests, so that all targets have
# the same include directories and warnings.

set(IBIS_WARNINGS -Wall -Wextra -Werror=return-type -Wno-missing-field-initializers)

# ibis_add_library(NAME SOURCES a.cc ... [DEPENDS target ...])
function(ibis_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(${name} PRIVATE ${IBIS_WARNINGS})
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# ibis_add_program(NAME SOURCES a.cc ... [DEPENDS target ...])
function(ibis_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src
                                             ${CMAKE_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${IBIS_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# ibis_add_test(NAME SOURCES a.cc ... [DEPENDS target ...])
# The test runs in the source root, where it finds its golden files.
function(ibis_add_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  ibis_add_program(${name} SOURCES ${ARG_SOURCES}
                   DEPENDS ${ARG_DEPENDS} test_support)
  add_test(NAME ${name} COMMAND ${name} WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
