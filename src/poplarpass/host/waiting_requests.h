#pragma once

#include <poplarpass/host/client_request.h>
#include <poplarpass/host/constants.h>

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace poplarpass::host
{
/// \brief A queued request and its callback.
struct waiting_request
{
    client_request request;
    response_callback answer;
};

/// \brief Requests queued at the owner, in order of arrival, bounded by number and by bytes.
class waiting_requests
{
public:
    /// \brief Whether a bound is reached and no more requests may be added.
    [[nodiscard]] auto isFull() const -> bool
    {
        return m_requests.size() >= maxWaitingRequests || m_bytes >= maxWaitingBytes;
    }

    [[nodiscard]] auto isEmpty() const -> bool
    {
        return m_requests.empty();
    }

    /// \brief Whether a request about \p job is queued.
    [[nodiscard]] auto contains(const jobs::job_id &job) const -> bool
    {
        return std::ranges::any_of(m_requests, [&](const waiting_request &entry) { return entry.request.job == job; });
    }

    auto add(waiting_request entry) -> void
    {
        m_bytes += entry.request.body.size();
        m_requests.push_back(std::move(entry));
    }

    /// \brief Removes and returns all requests, in order of arrival.
    auto removeAll() -> std::vector<waiting_request>
    {
        m_bytes = 0;
        return std::exchange(m_requests, {});
    }

private:
    std::vector<waiting_request> m_requests;
    std::size_t m_bytes = 0;
};
} // namespace poplarpass::host
