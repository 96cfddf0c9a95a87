#include <poplarpass/jobs/account_numbers.h>

namespace poplarpass::jobs::internal
{
account_numbers::account_numbers()
{
    m_limits.emplace_back();
}

auto account_numbers::update(std::span<const account_limits> accounts) -> void
{
    m_configured.clear();
    for (const auto &account : accounts) {
        const auto number = numberOf(account.name);
        m_limits[number] = account;
        m_configured.push_back(number);
    }
}

auto account_numbers::numberOf(const account_id &account) -> account_number
{
    if (account.empty()) {
        return 0;
    }
    const auto [entry, added] = m_numbers.try_emplace(account, static_cast<account_number>(m_limits.size()));
    if (added) {
        m_limits.push_back({account, 1.0, {}});
    }
    return entry->second;
}

auto account_numbers::find(const account_id &account) const -> account_number
{
    const auto entry = m_numbers.find(account);
    return entry == m_numbers.end() ? 0 : entry->second;
}

auto account_numbers::limitsOf(account_number number) const -> const account_limits &
{
    return m_limits[number];
}

auto account_numbers::configured() const -> std::span<const account_number>
{
    return m_configured;
}

auto account_numbers::isAnyConfigured() const -> bool
{
    return !m_configured.empty();
}
} // namespace poplarpass::jobs::internal
