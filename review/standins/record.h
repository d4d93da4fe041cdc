#pragma once

#include "http/clocktimer.h"

#include <chrono>
#include <fstream>
#include <string>

namespace gooseberrywall::review {

/// Writes what was sent, answered and run, one line each, with the time since the start.
class Record
{
public:
    explicit Record(const std::string &fileName)
        : file(fileName)
        , startedAt(monotonicNow())
    {
    }

    auto write(const std::string &line) -> void
    {
        const auto time =
            std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - this->startedAt);
        this->file << time.count() << " ms " << line << std::endl;
    }

private:
    std::ofstream file;
    Instant startedAt;
};

} // namespace gooseberrywall::review
