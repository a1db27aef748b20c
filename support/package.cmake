# One package: a static library built from src/NAME, its public headers in include/applehatch/NAME.
# Sources are globbed so that a new file needs no edit here.
function(applehatch_package name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc)
  list(FILTER sources EXCLUDE REGEX "[-/](main|run|bench)\\.cc$")
  add_library(applehatch-${name} STATIC ${sources})
  target_include_directories(applehatch-${name} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_compile_options(applehatch-${name} PRIVATE -Wall -Wextra -Wshadow -Werror)
  target_link_libraries(applehatch-${name} PUBLIC ${ARG_LINK})
endfunction()

# One program of the product: src/NAME/main.cc over the package NAME.
function(applehatch_program name)
  add_executable(applehatch-${name}-program ${PROJECT_SOURCE_DIR}/src/${name}/main.cc)
  set_target_properties(applehatch-${name}-program PROPERTIES
    OUTPUT_NAME applehatch-${name} RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  target_compile_options(applehatch-${name}-program PRIVATE -Wall -Wextra -Wshadow -Werror)
  target_link_libraries(applehatch-${name}-program PRIVATE applehatch-${name})
endfunction()

# A tool that comes with the sources and is not part of the product.
function(applehatch_tool name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  target_compile_options(${name} PRIVATE -Wall -Wextra -Wshadow -Werror)
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
endfunction()

# The Boost.Test cases of test/NAME/*-test.cc as one ctest entry.
function(applehatch_tests name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/test/${name}/*-test.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}-tests ${sources} ${PROJECT_SOURCE_DIR}/test/support/main.cc)
  target_include_directories(${name}-tests PRIVATE ${PROJECT_SOURCE_DIR}/test)
  target_compile_definitions(${name}-tests PRIVATE BOOST_TEST_DYN_LINK)
  target_compile_options(${name}-tests PRIVATE -Wall -Wextra -Wshadow -Werror)
  target_link_libraries(${name}-tests PRIVATE ${ARG_LINK} Boost::unit_test_framework rapidcheck)
  add_test(NAME ${name} COMMAND ${name}-tests --log_level=message
           WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
endfunction()

# The same with an entry for each case, named NAME/SUITE/CASE, so that one that is known to fail can
# be named without passing over others. No other test runs beside one of them.
function(applehatch_lone_tests name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/test/${name}/*-test.cc)
  add_executable(${name}-tests ${sources} ${PROJECT_SOURCE_DIR}/test/support/main.cc)
  target_include_directories(${name}-tests PRIVATE ${PROJECT_SOURCE_DIR}/test)
  target_compile_definitions(${name}-tests PRIVATE BOOST_TEST_DYN_LINK)
  target_compile_options(${name}-tests PRIVATE -Wall -Wextra -Wshadow -Werror)
  target_link_libraries(${name}-tests PRIVATE ${ARG_LINK} Boost::unit_test_framework)
  applehatch_add_cases(${name} "${sources}")
  set_tests_properties(${${name}_cases} PROPERTIES RUN_SERIAL TRUE)
endfunction()

# Adds an entry for each case in the sources of NAME-tests; NAME_cases becomes their list.
function(applehatch_add_cases name sources)
  set(cases "")
  foreach(source ${sources})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${source})
    file(STRINGS ${source} lines REGEX "^BOOST_AUTO_TEST_(SUITE|CASE)\\(")
    foreach(line ${lines})
      string(REGEX REPLACE "^BOOST_AUTO_TEST_(SUITE|CASE)\\((.*)\\).*" "\\2" case ${line})
      if(line MATCHES "SUITE")
        set(suite ${case})
      else()
        add_test(NAME ${name}/${suite}/${case}
          COMMAND ${name}-tests --log_level=message --run_test=${suite}/${case})
        set_tests_properties(${name}/${suite}/${case} PROPERTIES TIMEOUT 120)
        list(APPEND cases ${name}/${suite}/${case})
      endif()
    endforeach()
  endforeach()
  set(${name}_cases "${cases}" PARENT_SCOPE)
endfunction()
