#pragma once

#include <poplarpass/core/string_id.h>

#include <string>

namespace poplarpass::config::internal
{
/// \brief Returns the text of a name that is a plain string.
inline auto textOfName(const std::string &name) -> const std::string &
{
    return name;
}

/// \brief Returns the text of a name that is an identifier.
template <class tag>
auto textOfName(const core::string_id<tag> &name) -> const std::string &
{
    return name.str();
}
} // namespace poplarpass::config::internal
