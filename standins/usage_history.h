#pragma once

#include "worker_types.h"

#include <deque>

namespace standins
{
/// \brief A figure that is reported only after a lag.
class usage_history
{
public:
    /// \brief Notes that the figure is \p value from \p now on.
    auto record(steady_time now, int value) -> void;

    /// \brief The figure as it was \p lag before \p now.
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
