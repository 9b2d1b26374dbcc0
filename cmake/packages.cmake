# Functions that build a package with the common layout: sources directly in
# src/, public headers under include/NAME/, tests under tests/.

# GCC 12 mistakes the recycled coroutine frames of Asio for mismatched
# allocations, so this warning is disabled.
set(PG_WARNINGS -Wall -Wextra -Werror -Wno-mismatched-new-delete)

# -DPERIDOTGATE_SANITIZE=address,undefined builds with these sanitizers. -Werror
# is then off, because the instrumentation makes GCC warn about library headers.
set(PERIDOTGATE_SANITIZE "" CACHE STRING "sanitizers to build with")
if(PERIDOTGATE_SANITIZE)
  list(REMOVE_ITEM PG_WARNINGS -Werror)
  add_compile_options(-fsanitize=${PERIDOTGATE_SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${PERIDOTGATE_SANITIZE})
endif()

# -DPERIDOTGATE_FUZZ=ON, with Clang, builds a fuzzer from every
# tests/fuzz/*_fuzzer.cc; tools/fuzz runs them.
option(PERIDOTGATE_FUZZ "build the fuzzers" OFF)
if(PERIDOTGATE_FUZZ)
  list(REMOVE_ITEM PG_WARNINGS -Werror)
  add_compile_options(-fsanitize=fuzzer-no-link,address -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address)
endif()

# pg_package(NAME [dependencies...]): defines the static library
# peridotgate_NAME from NAME/src/*.cc with NAME/include as public headers.
function(pg_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  list(FILTER sources EXCLUDE REGEX "_main\\.cc$")
  add_library(peridotgate_${name} STATIC ${sources})
  add_library(peridotgate::${name} ALIAS peridotgate_${name})
  set_target_properties(peridotgate_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(
    peridotgate_${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:include/peridotgate>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_compile_options(peridotgate_${name} PRIVATE ${PG_WARNINGS})
  target_link_libraries(peridotgate_${name} PUBLIC ${ARGN})
endfunction()

# pg_tests(NAME [dependencies...]): defines the test program of a package from
# all tests/**/*_test.cc and registers it with CTest.
function(pg_tests name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}_tests ${sources})
  target_compile_options(${name}_tests PRIVATE ${PG_WARNINGS})
  target_include_directories(${name}_tests
                             PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src
                                     ${CMAKE_SOURCE_DIR}/testing)
  target_link_libraries(${name}_tests PRIVATE peridotgate::${name} ${ARGN}
                                              GTest::gtest GTest::gtest_main)
  add_test(NAME ${name}_tests COMMAND ${name}_tests
           WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  pg_fuzzers(${name} ${ARGN})
endfunction()

# pg_fuzzers(NAME [dependencies...]): defines a program fuzz-NAME-TARGET for
# each tests/fuzz/TARGET_fuzzer.cc if PERIDOTGATE_FUZZ is on.
function(pg_fuzzers name)
  if(NOT PERIDOTGATE_FUZZ)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/tests/fuzz/*_fuzzer.cc)
  foreach(source ${sources})
    get_filename_component(stem ${source} NAME_WE)
    string(REPLACE "_fuzzer" "" stem ${stem})
    set(fuzzer fuzz-${name}-${stem})
    add_executable(${fuzzer} ${source})
    target_compile_options(${fuzzer} PRIVATE ${PG_WARNINGS})
    target_include_directories(${fuzzer}
                               PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src
                                       ${CMAKE_SOURCE_DIR}/testing)
    target_link_options(${fuzzer} PRIVATE -fsanitize=fuzzer)
    target_link_libraries(${fuzzer} PRIVATE peridotgate::${name} ${ARGN})
    set_property(GLOBAL APPEND PROPERTY PG_FUZZERS ${fuzzer})
  endforeach()
endfunction()

# pg_state_charts(TARGET file...): embeds the text of each chart file into
# TARGET as a C++ string, because instances may have no disk to read from.
function(pg_state_charts target)
  foreach(chart ${ARGN})
    get_filename_component(stem ${chart} NAME_WE)
    set(out ${CMAKE_CURRENT_BINARY_DIR}/charts/${stem}_chart.cc)
    add_custom_command(
      OUTPUT ${out}
      COMMAND ${CMAKE_COMMAND} -DIN=${CMAKE_CURRENT_SOURCE_DIR}/${chart}
              -DOUT=${out} -DSTEM=${stem}
              -P ${CMAKE_SOURCE_DIR}/cmake/embed_chart.cmake
      DEPENDS ${chart} ${CMAKE_SOURCE_DIR}/cmake/embed_chart.cmake)
    target_sources(${target} PRIVATE ${out})
  endforeach()
endfunction()
