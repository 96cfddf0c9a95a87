#pragma once

#include <poplarpass/jobs/advice_cache.h>

#include <functional>
#include <optional>
#include <vector>

namespace poplarpass::host
{
/// \brief Calls of the service that advises on placement; completions run on the event loop.
struct advice_calls
{
    /// \brief Asks which workers may run a step; nothing when the service did not answer.
    std::function<void(const jobs::advice_request &,
                       std::function<void(std::optional<std::vector<jobs::advice_ticket>>)>)>
        ask;
};
} // namespace poplarpass::host
