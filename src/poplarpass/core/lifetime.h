#pragma once

#include <memory>
#include <utility>

namespace poplarpass::core
{
/// \brief Suppresses asynchronous completions after their target object is destroyed; used as a member of that object.
class lifetime
{
public:
    lifetime() = default;

    ~lifetime()
    {
        end();
    }

    lifetime(const lifetime &) = delete;
    auto operator=(const lifetime &) -> lifetime & = delete;

    /// \brief Suppresses all guarded calls from now on.
    auto end() -> void
    {
        *m_alive = false;
    }

    /// \brief Returns a shared value that is true until end(); it may be read after the object is destroyed.
    [[nodiscard]] auto aliveFlag() const -> std::shared_ptr<const bool>
    {
        return m_alive;
    }

    /// \brief Wraps \p call so that it has no effect after end().
    template <typename Call>
    [[nodiscard]] auto guard(Call call) const
    {
        return [alive = m_alive, call = std::move(call)](auto &&...arguments) {
            if (*alive) {
                call(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

private:
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};
} // namespace poplarpass::core
