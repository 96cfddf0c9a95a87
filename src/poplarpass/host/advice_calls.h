#pragma once

#include <poplarpass/jobs/advice_cache.h>

#include <functional>
#include <optional>
#include <vector>

namespace poplarpass::host
{
/// \brief Client interface of the placement advice service; completions run on the event loop.
struct advice_calls
{
    /// \brief Requests the workers that may run a step; completes with nothing if the service did not answer.
    std::function<void(const jobs::advice_request &,
                       std::function<void(std::optional<std::vector<jobs::advice_ticket>>)>)>
        requestAdvice;
};
} // namespace poplarpass::host
