#pragma once

#include <memory>
#include <utility>

namespace poplarpass::core
{
/// \brief Keeps completions away from an object that is gone; a member of the object that waits for them.
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

    /// \brief From now on nothing that was guarded is called.
    auto end() -> void
    {
        *m_alive = false;
    }

    /// \brief Whether the object still waits for completions; may be asked when the object is gone.
    [[nodiscard]] auto flag() const -> std::shared_ptr<const bool>
    {
        return m_alive;
    }

    /// \brief \p call, which does nothing once the object is gone.
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
