#pragma once

#include "worker_types.h"

#include <deque>

namespace standins
{
/// \brief Usage figure that is reported with a lag.
class usage_history
{
public:
    /// \brief Records that the figure is \p value from \p now on.
    auto record(steady_time now, int value) -> void;

    /// \brief Returns the figure at the time \p lag before \p now, and discards the samples up to then.
    auto valueAt(steady_time now, std::chrono::milliseconds lag) -> int;

private:
    struct sample
    {
        steady_time time;
        int value;
    };

    std::deque<sample> m_samples;
    int m_reported = 0;
};
} // namespace standins
