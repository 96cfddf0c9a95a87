#pragma once

#include <string_view>

namespace poplarpass::app
{
/// \brief Version of this build.
auto version() -> std::string_view;
} // namespace poplarpass::app
