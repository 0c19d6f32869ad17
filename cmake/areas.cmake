# Targets by folder: a new file in an area needs no edit of the build.

# Builds static library NAME from src/<area>/*.cc of each area given.
function(hornbeamcleat_library name)
  set(sources)
  foreach(area ${ARGN})
    file(GLOB files CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${area}/*.cc)
    list(APPEND sources ${files})
  endforeach()
  add_library(${name} STATIC ${sources})
endfunction()

# Builds static library NAME from FOLDER/*.cc.
function(hornbeamcleat_folder_library name folder)
  file(GLOB files CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${folder}/*.cc)
  add_library(${name} STATIC ${files})
endfunction()

# Builds one program from each folder of tools/, named after the folder.
function(hornbeamcleat_tools)
  file(GLOB folders CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tools/*)
  foreach(folder ${folders})
    get_filename_component(name ${folder} NAME)
    file(GLOB files CONFIGURE_DEPENDS ${folder}/*.cc)
    if(files AND NOT TARGET ${name})
      add_executable(${name} ${files})
      target_link_libraries(${name} PRIVATE hornbeamcleat_io)
    endif()
  endforeach()
endfunction()

# Builds one GoogleTest program from each folder of tests/.
function(hornbeamcleat_tests)
  file(GLOB folders CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/*)
  # Fake of the platform's store, shared by several test programs.
  add_library(fake_store STATIC
    ${PROJECT_SOURCE_DIR}/tests/platform/fake_store.cc)
  target_link_libraries(fake_store PUBLIC hornbeamcleat_platform)
  foreach(folder ${folders})
    get_filename_component(area ${folder} NAME)
    file(GLOB files CONFIGURE_DEPENDS ${folder}/*.cc)
    list(FILTER files EXCLUDE REGEX "/fake_store.cc$")
    if(files)
      add_executable(${area}_tests ${files})
      target_include_directories(${area}_tests PRIVATE ${PROJECT_BINARY_DIR})
      target_compile_definitions(${area}_tests PRIVATE
        HORNBEAMCLEAT_BINARY_DIR="${PROJECT_BINARY_DIR}")
      target_link_libraries(${area}_tests PRIVATE hornbeamcleat_io
        fake_store GTest::gmock GTest::gtest_main)
      add_test(NAME ${area} COMMAND ${area}_tests)
    endif()
  endforeach()
endfunction()

# Builds one Google Benchmark program from each folder of bench/.
function(hornbeamcleat_benches)
  file(GLOB folders CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/*)
  foreach(folder ${folders})
    get_filename_component(area ${folder} NAME)
    file(GLOB files CONFIGURE_DEPENDS ${folder}/*_bench.cc)
    if(files)
      add_executable(${area}_bench ${files})
      target_link_libraries(${area}_bench PRIVATE hornbeamcleat_io
        hornbeamcleat_platform benchmark::benchmark_main)
    endif()
  endforeach()
endfunction()
