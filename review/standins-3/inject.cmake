# Included when the project begins: at the end of its CMakeLists.txt, adds the stand-ins of the
# review, which use its modules without being a part of its build.
set(review_standins ${CMAKE_CURRENT_LIST_DIR})
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include
    ${review_standins}/standins.cmake)
