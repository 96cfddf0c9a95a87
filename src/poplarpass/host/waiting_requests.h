#pragma once

#include <poplarpass/host/client_request.h>
#include <poplarpass/host/constants.h>

#include <cstddef>
#include <utility>
#include <vector>

namespace poplarpass::host
{
/// \brief A request and where its answer goes.
struct waiting_request
{
    client_request request; ///< The request.
    client_answer answer; ///< Takes its answer.
};

/// \brief Requests that wait at the owner, bounded by number and by bytes.
class waiting_requests
{
public:
    /// \brief Whether no more requests may wait.
    [[nodiscard]] auto isFull() const -> bool
    {
        return m_requests.size() >= maxWaitingRequests || m_bytes >= maxWaitingBytes;
    }

    /// \brief Whether none waits.
    [[nodiscard]] auto isEmpty() const -> bool
    {
        return m_requests.empty();
    }

    /// \brief Adds a request.
    auto add(waiting_request entry) -> void
    {
        m_bytes += entry.request.body.size();
        m_requests.push_back(std::move(entry));
    }

    /// \brief All that wait, in the order in which they came; none waits afterwards.
    auto takeAll() -> std::vector<waiting_request>
    {
        m_bytes = 0;
        return std::exchange(m_requests, {});
    }

private:
    std::vector<waiting_request> m_requests;
    std::size_t m_bytes = 0;
};
} // namespace poplarpass::host
