#pragma once

#include <poplarpass/app/command_line.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarpass::app
{
/// \brief Verb that the arguments of the program start with.
struct verb_match
{
    const verb *matched = nullptr; ///< The longest verb that matches; null if there is none.
    std::size_t words = 0; ///< Number of its words.
};

/// \brief Returns the longest of \p verbs whose words \p arguments start with.
auto matchVerb(std::span<const std::string> arguments, std::span<const verb> verbs) -> verb_match;

/// \brief Returns the verbs of two words whose first word is \p group.
auto verbsOfGroup(std::string_view group, std::span<const verb> verbs) -> std::vector<verb>;

/// \brief Returns the words of \p arguments before the first option, at most as many as the longest verb has.
auto verbWords(std::span<const std::string> arguments, std::span<const verb> verbs) -> std::string;

/// \brief Returns the name of the verb with the fewest edits to \p words; the first of several.
/// \pre \p verbs is not empty
auto nearestVerb(std::string_view words, std::span<const verb> verbs) -> std::string;

/// \brief Returns the first name that two of \p verbs share; empty if each is registered once.
auto repeatedVerb(std::span<const verb> verbs) -> std::string;
} // namespace poplarpass::app
