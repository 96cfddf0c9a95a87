#pragma once

#include "worker_types.h"

#include <poplarpass/net/http_message.h>

#include <nlohmann/json_fwd.hpp>

namespace standins
{
/// \brief The start that a request asks for; identifiers that are missing stay empty.
auto decodeStart(const poplarpass::net::http_request &message) -> poplarpass::platform::start_request;

/// \brief The lease that a request asks for, if it can be read.
auto decodeLease(const poplarpass::net::http_request &message) -> std::optional<poplarpass::platform::lease_request>;

/// \brief The order that a request gives, if it can be read.
auto decodeOrder(const poplarpass::net::http_request &message) -> std::optional<poplarpass::platform::order_request>;

/// \brief \p behaviour with the members that \p document sets; members of a wrong type are passed over.
auto decodeBehaviour(const nlohmann::json &document, worker_behaviour behaviour) -> worker_behaviour;

/// \brief Answer to a start that was refused.
auto encodeRejection(const poplarpass::platform::start_request &request, poplarpass::platform::rejection reason)
    -> poplarpass::net::http_response;

/// \brief Answer to a start that ended.
auto encodeOutcome(const poplarpass::platform::start_request &request, poplarpass::platform::start_outcome outcome,
                   std::string output, std::chrono::microseconds runTime) -> poplarpass::net::http_response;

/// \brief Answer to a query.
auto encodeTaskReport(std::string_view taskId, poplarpass::platform::task_report report)
    -> poplarpass::net::http_response;
} // namespace standins
