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
  add_test(NAME ${name} COMMAND ${target})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
