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
    integer, ///< Integer between key_description::minimum and key_description::maximum.
    name_list, ///< Array of names.
};

/// \brief Value of one key as read.
using key_value = std::variant<std::string, std::int64_t, std::vector<std::string>>;

/// \brief One key: accepted values, meaning and target member.
struct key_description
{
    std::string_view name; ///< Section and key, as in "limits.max_queue"; "peers[]." for each [[peers]].
    key_type type = key_type::text; ///< Form of the value.
    std::string_view unit; ///< Unit of an integer; empty if it is a plain number.
    std::int64_t minimum = 0; ///< Minimum value, or minimum length of a text.
    std::int64_t maximum = 0; ///< Maximum value, or maximum length of a text.
    std::string_view choices; ///< Accepted words, separated by '|'.
    bool required = false; ///< Whether the key must be given.
    std::string_view defaultValue; ///< Value if the key is not given.
    std::string_view meaning; ///< Description for operators, one sentence.
    void (*store)(process_settings &, const key_value &) = nullptr; ///< Stores a validated value in its member.
};

/// \brief Returns all keys, in the order of the printed table.
auto keyTable() -> std::span<const key_description>;

/// \brief Returns the row of keyTable() named \p name; null if there is none.
auto findKey(std::string_view name) -> const key_description *;

/// \brief Returns a description of the values that \p key accepts, such as "integer 1..100 ms".
auto acceptedValues(const key_description &key) -> std::string;

/// \brief Returns the key table in Markdown, as contained in docs/CONFIGURATION.md.
auto describeKeys() -> std::string;
} // namespace poplarpass::settings
