#include <poplarpass/host/authentication_log.h>
#include <poplarpass/host/constants.h>

#include <chrono>
#include <string>
#include <vector>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
auto fieldsOf(authentication_error error, const refused_request &refused) -> std::vector<observe::field>
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(refused.configAge);
    std::vector<observe::field> fields{{"id", refused.job},
                                       {"verb", refused.verb},
                                       {"reason", nameOf(error)},
                                       {"config", refused.configVersion},
                                       {"config_age_ms", age.count()}};
    if (!refused.account.empty()) {
        fields.emplace_back("account", refused.account);
    }
    return fields;
}
} // namespace

auto recordRefusal(observe::logger &log, observe::metrics_registry &metrics, authentication_error error,
                   const refused_request &refused) -> void
{
    metrics
        .counterOf("poplarpass_authentication_refused_total", "Requests refused because of their key",
                   {{"reason", std::string{nameOf(error)}}})
        .add(1);
    // Wrong keys are faults of callers; they must not use up the rate limit of warnings.
    const auto level = error == authentication_error::configuration_unconfirmed ? log_level::warning : log_level::info;
    log.logWith(level, "request_refused", [&] { return fieldsOf(error, refused); });
}
} // namespace poplarpass::host
