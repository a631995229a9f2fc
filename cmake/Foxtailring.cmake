# Options that every target of the project is compiled with.
add_library(foxtailring_options INTERFACE)
target_compile_options(foxtailring_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
target_compile_definitions(foxtailring_options INTERFACE BOOST_ASIO_NO_DEPRECATED
                           BOOST_ERROR_CODE_HEADER_ONLY)
target_include_directories(foxtailring_options INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_link_libraries(foxtailring_options INTERFACE Threads::Threads)

# Precedes each source that a unity build joins. CppUnit names a registration after its line, which
# may be the same in two tests.
set(FOXTAILRING_BEFORE_UNITY_SOURCE [[
#undef CPPUNIT_MAKE_UNIQUE_NAME
#define CPPUNIT_MAKE_UNIQUE_NAME(prefix) CPPUNIT_JOIN(CPPUNIT_JOIN(prefix, unity), __COUNTER__)
// NOLINTNEXTLINE(bugprone-suspicious-include)]])

# foxtailring_unity(TARGET): lets a unity build join the sources of the target.
function(foxtailring_unity target)
    set_target_properties(${target} PROPERTIES UNITY_BUILD_CODE_BEFORE_INCLUDE
                          "${FOXTAILRING_BEFORE_UNITY_SOURCE}")
endfunction()

# foxtailring_library(NAME DEPENDS...): one package, built from every source in its folder and in the
# folders of its groups.
function(foxtailring_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp
         ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*/*.cpp)
    if(NOT sources)
        add_library(foxtailring_${name} INTERFACE)
        target_link_libraries(foxtailring_${name} INTERFACE foxtailring_options ${ARGN})
        return()
    endif()
    add_library(foxtailring_${name} STATIC ${sources})
    target_include_directories(foxtailring_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/${name})
    target_link_libraries(foxtailring_${name} PUBLIC foxtailring_options ${ARGN})
    foxtailring_unity(foxtailring_${name})
endfunction()

# foxtailring_program(NAME SOURCES... LINK LIBS...): one binary.
function(foxtailring_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE foxtailring_options ${ARG_LINK})
    foxtailring_unity(${name})
endfunction()
