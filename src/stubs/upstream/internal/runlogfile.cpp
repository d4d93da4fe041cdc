#include "stubs/upstream/runlogfile.h"

#include "stubs/upstream/internal/modelreport.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr int fileMode = 0644;

} // namespace

RunLogFile::RunLogFile(const std::string &path, Address upstream)
    : descriptor(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode))
    , upstream(std::move(upstream))
    , allWritten(descriptor >= 0)
{
}

RunLogFile::~RunLogFile()
{
    if (this->descriptor >= 0) {
        close(this->descriptor);
    }
}

auto RunLogFile::write(RunNumber number, const RunRecord &record) -> void
{
    const auto line = runJson(this->upstream, number, record) + '\n';
    const auto written = ::write(this->descriptor, line.data(), line.size());
    this->allWritten = this->allWritten && written == static_cast<ssize_t>(line.size());
}

} // namespace gooseberrywall
