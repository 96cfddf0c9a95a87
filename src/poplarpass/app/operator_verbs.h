#pragma once

#include <poplarpass/app/command_line.h>
#include <poplarpass/replication/publisher.h>

#include <vector>

namespace poplarpass::app
{
/// \brief Verbs that check, publish and show capacity profiles.
auto profileVerbs() -> std::vector<verb>;

/// \brief Verbs that plan and drive maintenance waves.
auto waveVerbs() -> std::vector<verb>;

/// \brief Verbs that show the fleet, hosts and jobs.
auto statusVerbs() -> std::vector<verb>;

/// \brief Option that names a settings file of the deployment.
auto configOption() -> option_spec;

/// \brief Option that chooses text or JSON output.
auto formatOption() -> option_spec;

/// \brief Prints \p outcome of publishing \p what and says how the verb ends.
auto reportOutcome(const replication::publish_outcome &outcome, std::string_view what, const parsed_options &options,
                   console &streams) -> exit_code;
} // namespace poplarpass::app
