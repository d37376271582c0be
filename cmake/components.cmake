# Helpers that turn the directory layout into targets: lib/<component> is one
# library, unittests/<component> one test program, tools/<program> one program.

add_library(eelgrassbend_options INTERFACE)
target_include_directories(eelgrassbend_options INTERFACE ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR})
target_include_directories(eelgrassbend_options SYSTEM INTERFACE ${PROJECT_SOURCE_DIR}/generated)
target_compile_definitions(eelgrassbend_options INTERFACE
  BOOST_ASIO_HAS_CO_AWAIT=1 BOOST_ASIO_HAS_STD_COROUTINE=1 BOOST_ALL_NO_LIB=1)
target_compile_options(eelgrassbend_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wshadow=local -Wno-missing-field-initializers -Wno-psabi)
if(EELGRASSBEND_SANITIZE)
  target_compile_options(eelgrassbend_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
    -Wno-maybe-uninitialized -Wno-stringop-overflow -Wno-mismatched-new-delete)
  target_link_options(eelgrassbend_options INTERFACE -fsanitize=address,undefined)
endif()

# Adds the library eelgrassbend_<name> from the sources in the current directory.
function(eelgrassbend_add_component name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(eelgrassbend_${name} STATIC ${sources})
  target_link_libraries(eelgrassbend_${name} PUBLIC eelgrassbend_options ${ARGN})
endfunction()

# Adds the test program <name>-tests from the sources in the current directory. The main function
# is compiled once, so that the linter reads it once.
function(eelgrassbend_add_tests name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT TARGET eelgrassbend_test_main)
    add_library(eelgrassbend_test_main OBJECT ${PROJECT_SOURCE_DIR}/unittests/main.cpp)
    target_compile_definitions(eelgrassbend_test_main PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(eelgrassbend_test_main PRIVATE eelgrassbend_options
      Boost::unit_test_framework)
  endif()
  add_executable(${name}-tests ${sources} $<TARGET_OBJECTS:eelgrassbend_test_main>)
  target_include_directories(${name}-tests PRIVATE ${PROJECT_SOURCE_DIR}/unittests)
  target_compile_definitions(${name}-tests PRIVATE BOOST_TEST_DYN_LINK
    EELGRASSBEND_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  target_link_libraries(${name}-tests PRIVATE eelgrassbend_options Boost::unit_test_framework ${ARGN})
  add_test(NAME ${name} COMMAND ${name}-tests)
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# Adds the program <name> from the sources in the current directory.
function(eelgrassbend_add_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE eelgrassbend_options ${ARGN})
endfunction()

# Adds only what the gateway program is made of.
function(eelgrassbend_add_gateway_components)
  foreach(component support tokens bundle discovery routes store placement quarantine duties limits admission rollout streams fleet
      gateway serving settings
      kernel logging metrics net)
    add_subdirectory(${PROJECT_SOURCE_DIR}/lib/${component})
  endforeach()
  add_subdirectory(${PROJECT_SOURCE_DIR}/platform)
  add_subdirectory(${PROJECT_SOURCE_DIR}/tools/eelgrassbend-gateway)
endfunction()

# Adds every directory of lib, tools, bench and unittests that has a CMakeLists.txt.
function(eelgrassbend_add_all_components)
  file(GLOB lists CONFIGURE_DEPENDS
    ${PROJECT_SOURCE_DIR}/lib/*/CMakeLists.txt
    ${PROJECT_SOURCE_DIR}/platform/CMakeLists.txt
    ${PROJECT_SOURCE_DIR}/tools/*/CMakeLists.txt
    ${PROJECT_SOURCE_DIR}/bench/CMakeLists.txt
    ${PROJECT_SOURCE_DIR}/unittests/*/CMakeLists.txt)
  foreach(list IN LISTS lists)
    get_filename_component(directory ${list} DIRECTORY)
    add_subdirectory(${directory})
  endforeach()
endfunction()
