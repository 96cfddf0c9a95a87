#pragma once

#include <string_view>

namespace poplarpass::app
{
/// \brief Returns the version of this build.
auto version() -> std::string_view;
} // namespace poplarpass::app
