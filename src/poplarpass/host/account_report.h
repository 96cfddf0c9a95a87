#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/jobs/account_limits.h>
#include <poplarpass/net/http_message.h>

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::host
{
/// \brief What operators see of one account; all figures are those of the owner's term.
struct account_report_entry
{
    jobs::account_id name;
    double weight = 1.0; ///< Relative share of a full pool.
    double shareCores = 0; ///< Fair share over all pools, cores.
    jobs::resources use; ///< Resources of its runs.
    jobs::resources cap; ///< Maximum resources; 0 for no limit.
    std::uint64_t waitingTasks = 0; ///< Tasks that wait for a start.
    double waitingCoreSeconds = 0; ///< Expected processor time of the waiting tasks.
    std::map<std::string, std::uint64_t> refused; ///< Refused requests by reason.
    std::optional<std::int64_t> atCapSinceMs; ///< Unix time since when it has been at its cap, milliseconds.

    auto operator==(const account_report_entry &) const -> bool = default;
};

/// \brief All accounts of a deployment.
using account_report = std::vector<account_report_entry>;

/// \brief Why a host has no report of the accounts.
struct account_report_refusal
{
    bool areAccountsEnabled = false; ///< False if the deployment has no accounts.
    std::string owner; ///< Name of the host that owns the pools; empty if it is not known.
};

/// \brief Hook that supplies the report of a host that owns the pools.
using account_report_source = std::function<tl::expected<account_report, account_report_refusal>()>;

/// \brief Encodes \p report as JSON.
auto encodeAccountReport(const account_report &report) -> std::string;

/// \brief Decodes a report from JSON.
/// \returns malformed_message if \p text is no report
auto decodeAccountReport(std::string_view text) -> core::result<account_report>;

/// \brief Returns the name of the owner in the body \p text of a response with notOwnerStatus; empty if there is none.
auto decodeReportOwner(std::string_view text) -> std::string;

/// \brief Answers GET /accounts; notOwnerStatus with the owner's name if this host does not own the pools, 404 without
/// accounts.
auto answerAccountRequest(const net::http_request &request, const account_report_source &source) -> net::http_response;
} // namespace poplarpass::host
