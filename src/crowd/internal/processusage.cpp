#include "crowd/processusage.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace gooseberrywall {

auto readProcessUsage(pid_t process) -> ProcessUsage
{
    const std::string label = "VmHWM:";
    const std::filesystem::path folder = "/proc/" + std::to_string(process);
    ProcessUsage result;
    std::ifstream status(folder / "status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(label)) {
            result.peakMemoryKiB = std::stoul(line.substr(label.size()));
        }
    }
    std::error_code error;
    const std::filesystem::directory_iterator entries(folder / "fd", error);
    if (!error) {
        result.descriptors = static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
    }
    return result;
}

} // namespace gooseberrywall
