// The record of a case: what was sent, answered and run.
#pragma once

#include "http.h"

#include <fstream>

namespace review
{
/// Writes lines with the seconds since the start of the case. Can be used from several threads.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file{path, std::ios::trunc}
        , m_begin{nowMs()}
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock{m_mutex};
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%8.3f  ", static_cast<double>(nowMs() - m_begin) / 1000.0);
        m_file << stamp << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_begin;
};
} // namespace review
