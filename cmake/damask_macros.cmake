# Shared macros, so that each package's CMakeLists.txt states only its sources and dependencies.

find_package(absl REQUIRED)
find_package(tomlplusplus REQUIRED)
if(DAMASK_TESTS)
  find_package(benchmark REQUIRED)
  find_package(Boost REQUIRED COMPONENTS unit_test_framework)
else()
  find_package(Boost REQUIRED)
endif()
find_package(Threads REQUIRED)

add_compile_options(-Wall -Wextra -Werror=return-type -Wno-missing-field-initializers)
option(DAMASK_SANITIZE "Build with address and undefined-behaviour sanitizers" OFF)
if(DAMASK_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
include_directories(${PROJECT_SOURCE_DIR}/src/include)

# damask_library(<name> SOURCES ... DEPENDS ...): a static library of the workspace.
function(damask_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# damask_plugin(<name> SOURCES ... DEPENDS ...): an object library whose static registrations are
# linked into every tool that depends on damask_plugins.
add_library(damask_plugins INTERFACE)
function(damask_plugin name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} OBJECT ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
  target_link_libraries(damask_plugins INTERFACE ${name} $<TARGET_OBJECTS:${name}>)
endfunction()

# damask_tool(<name> SOURCES ... DEPENDS ...): an executable placed in <build>/bin.
function(damask_tool name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# damask_test(<name> SOURCES ... DEPENDS ... [TIMEOUT s]): a Boost.Test executable run by ctest.
function(damask_test name)
  if(NOT DAMASK_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "SYSTEM" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/testsuite/harness/test_main.cpp)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework rapidcheck)
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK DAMASK_BIN_DIR="${PROJECT_BINARY_DIR}/bin")
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)
  add_test(NAME ${name} COMMAND ${name} --report_level=short --log_level=error)
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} ENVIRONMENT "RC_PARAMS=seed=20261203")
endfunction()

# damask_bench(<name> SOURCES ... DEPENDS ...): a google-benchmark or table-printing executable.
function(damask_bench name)
  damask_tool(${name} ${ARGN})
  target_link_libraries(${name} PRIVATE benchmark::benchmark)
endfunction()
