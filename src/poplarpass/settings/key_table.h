#pragma once

#include <poplarpass/settings/process_settings.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace poplarpass::settings
{
/// \brief Form of a key's value.
enum class key_type {
    name, ///< Letters, digits, '-', '_' and '.', at most 64 characters.
    address, ///< "IP:port".
    text, ///< Any text.
    choice, ///< One of the words in key_description::choices.
    integer, ///< Whole number between key_description::least and key_description::most.
    name_list, ///< Array of names.
};

/// \brief Value of one key as read.
using key_value = std::variant<std::string, std::int64_t, std::vector<std::string>>;

/// \brief One key: what is accepted, what it means and where it is stored.
struct key_description
{
    std::string_view name; ///< Section and key, as in "limits.max_queue"; "peers[]." for each [[peers]].
    key_type type = key_type::text; ///< Form of the value.
    std::string_view unit; ///< Unit of an integer; empty if it is a plain number.
    std::int64_t minimum = 0; ///< Least value, or least length of a text.
    std::int64_t maximum = 0; ///< Greatest value, or greatest length of a text.
    std::string_view choices; ///< Accepted words, separated by '|'.
    bool required = false; ///< Whether it has to be given.
    std::string_view defaultValue; ///< Value when it is not given.
    std::string_view meaning; ///< One sentence for operators.
    void (*store)(process_settings &, const key_value &) = nullptr; ///< Puts a checked value in its place.
};

/// \brief All keys, in the order of the printed table.
auto keyTable() -> std::span<const key_description>;

/// \brief Row of keyTable() with the name \p name; null if there is none.
auto findKey(std::string_view name) -> const key_description *;

/// \brief What \p key accepts, in words, as in "integer 1..100 ms".
auto acceptedValues(const key_description &key) -> std::string;

/// \brief The table of keys in Markdown, as docs/CONFIGURATION.md holds it.
auto describeKeys() -> std::string;
} // namespace poplarpass::settings
