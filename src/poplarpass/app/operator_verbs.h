#pragma once

#include <poplarpass/app/command_line.h>
#include <poplarpass/replication/publisher.h>

#include <vector>

namespace poplarpass::app
{
/// \brief Returns the verbs to check, publish and show capacity profiles.
auto profileVerbs() -> std::vector<verb>;

/// \brief Returns the verbs to plan and control maintenance waves.
auto waveVerbs() -> std::vector<verb>;

/// \brief Returns the verbs to show the fleet, hosts and jobs.
auto statusVerbs() -> std::vector<verb>;

/// \brief Returns the verbs to show the client accounts of a deployment.
auto accountVerbs() -> std::vector<verb>;

/// \brief Returns the required option --config: a settings file of the deployment.
auto configOption() -> option_spec;

/// \brief Returns the option --format: text or JSON output.
auto formatOption() -> option_spec;

/// \brief Prints the \p outcome of publishing \p what.
/// \returns the exit code of the verb
auto reportOutcome(const replication::publish_outcome &outcome, std::string_view what, const parsed_options &options,
                   console &streams) -> exit_code;
} // namespace poplarpass::app
