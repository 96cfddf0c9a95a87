#pragma once

#include "worker_types.h"

#include <poplarpass/net/http_message.h>

#include <nlohmann/json_fwd.hpp>

namespace standins
{
/// \brief Decodes a start request; missing identifiers stay empty.
auto decodeStart(const poplarpass::net::http_request &message) -> poplarpass::platform::start_request;

/// \brief Decodes a lease request.
/// \returns nothing if it is malformed
auto decodeLease(const poplarpass::net::http_request &message) -> std::optional<poplarpass::platform::lease_request>;

/// \brief Decodes an order.
/// \returns nothing if it is malformed
auto decodeOrder(const poplarpass::net::http_request &message) -> std::optional<poplarpass::platform::order_request>;

/// \brief Returns \p behaviour updated with the members of \p document; decoding stops at a member of the wrong type.
auto decodeBehaviour(const nlohmann::json &document, worker_behaviour behaviour) -> worker_behaviour;

/// \brief Encodes the response to a refused start.
auto encodeRejection(const poplarpass::platform::start_request &request, poplarpass::platform::rejection reason)
    -> poplarpass::net::http_response;

/// \brief Encodes the response to a start whose task has ended.
auto encodeOutcome(const poplarpass::platform::start_request &request, poplarpass::platform::start_outcome outcome,
                   std::string output, std::chrono::microseconds runTime) -> poplarpass::net::http_response;

/// \brief Encodes the response to a task query or command.
auto encodeTaskReport(std::string_view taskId, poplarpass::platform::task_report report)
    -> poplarpass::net::http_response;
} // namespace standins
