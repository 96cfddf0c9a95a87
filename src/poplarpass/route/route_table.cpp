#include <poplarpass/route/route_table.h>

#include <algorithm>
#include <cctype>

namespace poplarpass::route
{
namespace
{
auto lowerCase(std::string_view text) -> std::string
{
    std::string lower{text};
    std::ranges::transform(lower, lower.begin(),
                           [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return lower;
}
} // namespace

auto route_table::update(route_config config) -> bool
{
    if (config.version <= m_config.version) {
        return false;
    }
    for (auto &entry : config.routes) {
        entry.hostName = lowerCase(entry.hostName);
    }
    m_config = std::move(config);
    m_accounts = m_config.accounts ? accounts::account_table{*m_config.accounts} : accounts::account_table{};
    return true;
}

auto route_table::match(std::string_view hostName, std::string_view path) const -> route_match
{
    const auto requestedHost = lowerCase(hostName.substr(0, hostName.find(':')));
    route_match best;
    for (const auto &entry : m_config.routes) {
        const bool hasLongerPrefix =
            best.matched == nullptr || entry.pathPrefix.size() > best.matched->pathPrefix.size();
        if (entry.hostName == requestedHost && path.starts_with(entry.pathPrefix) && hasLongerPrefix) {
            best = {&entry, path.substr(entry.pathPrefix.size())};
        }
    }
    return best;
}

auto route_table::config() const -> const route_config &
{
    return m_config;
}

auto route_table::accounts() const -> const accounts::account_table *
{
    return m_config.accounts ? &m_accounts : nullptr;
}
} // namespace poplarpass::route
