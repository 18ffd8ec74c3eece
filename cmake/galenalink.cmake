set(GALENALINK_WARNINGS -Wall -Wextra -Wpedantic)
if(GALENALINK_WARNINGS_AS_ERRORS)
  list(APPEND GALENALINK_WARNINGS -Werror)
endif()

# galenalink_module(NAME [SOURCES ...] [DEPENDS ...]) defines the package
# galenalink::NAME. A package without sources is an interface target.
function(galenalink_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(target galenalink_${name})
  if(ARG_SOURCES)
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
    target_compile_options(${target} PRIVATE ${GALENALINK_WARNINGS})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} INTERFACE ${ARG_DEPENDS})
  endif()
  add_library(galenalink::${name} ALIAS ${target})
endfunction()

# galenalink_known_red(TARGET OUT) sets OUT to the options that exclude the known failures of a test program:
# the cases of KNOWN-RED.txt whose command runs it with --run_test=SUITE/CASE.
# scripts/known-red runs and prints them.
set_property(DIRECTORY ${PROJECT_SOURCE_DIR} APPEND PROPERTY
             CMAKE_CONFIGURE_DEPENDS KNOWN-RED.txt)
function(galenalink_known_red target out)
  file(STRINGS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt entries
       REGEX "^[^#].*/${target} --run_test=")
  set(options)
  foreach(entry IN LISTS entries)
    string(REGEX REPLACE ".*/${target} --run_test=([^ |]+).*" "--run_test=!\\1"
                         option "${entry}")
    list(APPEND options "${option}")
  endforeach()
  set(${out} ${options} PARENT_SCOPE)
endfunction()

# galenalink_test(NAME SOURCES ... DEPENDS ...) defines one Boost.Test program
# and registers it with CTest.
function(galenalink_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set(target test_${name})
  add_executable(${target} ${PROJECT_SOURCE_DIR}/test/main.cpp ${ARG_SOURCES})
  target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/test)
  target_link_libraries(${target} PRIVATE ${ARG_DEPENDS}
                                          Boost::unit_test_framework)
  target_compile_definitions(
    ${target} PRIVATE BOOST_TEST_DYN_LINK)
  target_compile_options(${target} PRIVATE ${GALENALINK_WARNINGS})
  galenalink_known_red(${target} known_red)
  add_test(NAME ${name} COMMAND ${target} ${known_red})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
