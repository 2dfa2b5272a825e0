# Compiler options that every target shares, and helpers to declare targets.
set(CHERVILKEEL_SANITIZE "" CACHE STRING "Sanitizers to build with, comma separated")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

add_library(chervilkeel_options INTERFACE)
target_include_directories(chervilkeel_options INTERFACE
  "${CMAKE_SOURCE_DIR}/src/include" "${CMAKE_SOURCE_DIR}/src")
target_compile_options(chervilkeel_options INTERFACE
  -Wall -Wextra -Wshadow -Wno-deprecated-declarations)
if(CHERVILKEEL_SANITIZE)
  target_compile_options(chervilkeel_options INTERFACE
    -fsanitize=${CHERVILKEEL_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(chervilkeel_options INTERFACE
    -fsanitize=${CHERVILKEEL_SANITIZE})
endif()

# Declares one Boost.Test program per file, labelled "unit".
function(chervilkeel_unit_tests)
  if(CHERVILKEEL_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "FILES;LIBRARIES" ${ARGN})
  foreach(file IN LISTS ARG_FILES)
    get_filename_component(name "${file}" NAME_WE)
    add_executable(${name} "${file}")
    target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES} Boost::unit_test_framework)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${name})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES LABELS unit)
  endforeach()
endfunction()
