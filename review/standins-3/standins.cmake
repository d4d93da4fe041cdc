set(standins ${review_standins})
add_executable(gooseberrywall-review-3
    ${standins}/callers.cpp
    ${standins}/daemon.cpp
    ${standins}/lostwatch.cpp
    ${standins}/main.cpp
    ${standins}/poison.cpp
    ${standins}/server.cpp
    ${standins}/proxy.cpp
)
target_include_directories(gooseberrywall-review-3 PRIVATE ${standins})
target_compile_options(gooseberrywall-review-3 PRIVATE -Wall -Wextra -Wpedantic -Werror)
target_link_libraries(gooseberrywall-review-3 PRIVATE kvplatformstubs streams)
