#include "tasks/wakeup.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace gooseberrywall {

Wakeup::Wakeup()
    : fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (this->fd < 0) {
        throw std::system_error(errno, std::generic_category(),
                                "eventfd failed; raise the limit of open files");
    }
}

Wakeup::~Wakeup()
{
    close(this->fd);
}

auto Wakeup::wake() const -> void
{
    const std::uint64_t one = 1;
    // A full counter makes the write fail, but then the descriptor is readable already.
    [[maybe_unused]] const auto written = write(this->fd, &one, sizeof one);
}

auto Wakeup::reset() const -> void
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto taken = read(this->fd, &count, sizeof count);
}

} // namespace gooseberrywall
