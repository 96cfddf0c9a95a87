#include <poplarpass/app/version.h>

namespace poplarpass::app
{
auto version() -> std::string_view
{
    return POPLARPASS_VERSION;
}
} // namespace poplarpass::app
