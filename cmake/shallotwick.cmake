# The tests that run under sanitizers.
add_custom_target(library-tests)
add_custom_target(thread-tests)

# Declares one library of the workspace: all its sources, and a CppUTest program
# made of tests/*.cc beside them. THREADED libraries are tested under the thread
# sanitizer too.
function(shallotwick_library name)
  cmake_parse_arguments(ARG "THREADED" "" "DEPENDS;TEST_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  file(GLOB tests CONFIGURE_DEPENDS tests/*.cc)
  set(labels library)
  if(ARG_THREADED)
    list(APPEND labels threads)
  endif()
  if(tests)
    shallotwick_test(${name}-test SOURCES ${tests} LABELS ${labels}
                     DEPENDS ${name} ${ARG_TEST_DEPENDS})
    add_dependencies(library-tests ${name}-test)
    if(ARG_THREADED)
      add_dependencies(thread-tests ${name}-test)
    endif()
  endif()
endfunction()

# Declares one test program. The seed of the property tests is pinned, so that
# every run draws the same cases.
function(shallotwick_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES}
                 ${CMAKE_SOURCE_DIR}/tests/harness/test_main.cc)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} base rapidcheck
                                           CppUTest)
  # Its replacement of new clashes with the standard headers.
  target_compile_definitions(${name} PRIVATE
                             CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  add_test(NAME ${name} COMMAND ${name})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204"
    LABELS "${ARG_LABELS}" TIMEOUT ${ARG_TIMEOUT})
endfunction()
