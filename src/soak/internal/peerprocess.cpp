#include "soak/peerprocess.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace gooseberrywall {

namespace {

/// @returns the number of the connection's other end in the kernel's table; zero if it has none
auto peerInode(int descriptor) -> std::uint64_t
{
    sockaddr_in peer{};
    sockaddr_in self{};
    socklen_t peerSize = sizeof peer;
    socklen_t selfSize = sizeof self;
    if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&self), &selfSize) != 0) {
        return 0;
    }
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        unsigned localPort = 0;
        unsigned remotePort = 0;
        unsigned long inode = 0;
        constexpr int fieldCount = 3;
        const auto fields =
            std::sscanf(line.c_str(), " %*d: %*8x:%4x %*8x:%4x %*x %*x:%*x %*x:%*x %*x %*u %*u %lu",
                        &localPort, &remotePort, &inode);
        if (fields == fieldCount && localPort == ntohs(peer.sin_port)
            && remotePort == ntohs(self.sin_port) && inode != 0) {
            return inode;
        }
    }
    return 0;
}

auto hasSocket(pid_t process, const std::string &name) -> bool
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd",
                                                      error);
    return !error && std::any_of(begin(entries), end(entries), [&](const auto &entry) {
        std::error_code unreadable;
        return std::filesystem::read_symlink(entry.path(), unreadable) == name;
    });
}

} // namespace

auto peerProcess(int descriptor, const std::vector<pid_t> &processes) -> pid_t
{
    const auto inode = peerInode(descriptor);
    const auto name = "socket:[" + std::to_string(inode) + "]";
    const auto found = std::find_if(processes.begin(), processes.end(), [&](pid_t process) {
        return inode != 0 && process != 0 && hasSocket(process, name);
    });
    return found == processes.end() ? 0 : *found;
}

} // namespace gooseberrywall
