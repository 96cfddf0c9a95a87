#include <poplarpass/accounts/account_table.h>

namespace poplarpass::accounts
{
account_table::account_table(std::span<const accounts::account> accounts)
    : m_accounts{accounts.begin(), accounts.end()}
{
    m_limits.reserve(m_accounts.size());
    for (std::size_t position = 0; position < m_accounts.size(); ++position) {
        const auto &entry = m_accounts[position];
        m_limits.push_back(entry.limits);
        m_byName.emplace(entry.limits.name.str(), position);
        for (const auto &key : entry.keys) {
            m_byKey.emplace(key, position);
        }
    }
}

auto account_table::find(const key_digest &key) const -> const accounts::account *
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_accounts[found->second];
}

auto account_table::account(const jobs::account_id &name) const -> const accounts::account *
{
    const auto found = m_byName.find(name.str());
    return found == m_byName.end() ? nullptr : &m_accounts[found->second];
}

auto account_table::all() const -> std::span<const accounts::account>
{
    return m_accounts;
}

auto account_table::limits() const -> std::span<const jobs::account_limits>
{
    return m_limits;
}
} // namespace poplarpass::accounts
