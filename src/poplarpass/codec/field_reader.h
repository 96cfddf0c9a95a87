#pragma once

#include <poplarpass/core/error.h>
#include <poplarpass/core/string_id.h>

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

/// Strict reader for decoded CBOR. Expensive to compile: include only from source files of this folder.
namespace poplarpass::codec::internal
{
/// \brief Maximum nesting depth of arrays, maps and tags in a record or a state.
inline constexpr std::size_t maxDepth = 12;

/// \brief Decodes \p bytes; fails unless they are exactly one CBOR value, nested at most maxDepth levels deep.
auto parseCbor(std::string_view bytes) -> core::result<nlohmann::json>;

/// \brief Encodes \p value as CBOR.
auto toCbor(const nlohmann::json &value) -> std::string;

/// \brief Returns a CBOR byte string with the content \p bytes.
auto binaryOf(std::string_view bytes) -> nlohmann::json;

/// \brief Reads the fields of an array in order; after the first missing field or wrong type, all reads fail.
class field_reader
{
public:
    explicit field_reader(const nlohmann::json &fields)
        : m_fields{&fields}
        , m_failed{!fields.is_array()}
    {
    }

    /// \brief Returns whether all fields were read with the expected types and none is left.
    [[nodiscard]] auto isComplete() const -> bool
    {
        return !m_failed && m_next == m_fields->size();
    }

    /// \brief Returns whether a field was missing or of the wrong type.
    [[nodiscard]] auto hasFailed() const -> bool
    {
        return m_failed;
    }

    /// \brief Marks the input as malformed; all further reads fail.
    auto fail() -> void
    {
        m_failed = true;
    }

    auto read(bool &value) -> field_reader &
    {
        const auto *field = next();
        if (check(field != nullptr && field->is_boolean())) {
            value = field->get<bool>();
        }
        return *this;
    }

    template <std::unsigned_integral number>
    auto read(number &value) -> field_reader &
    {
        const auto *field = next();
        if (check(field != nullptr && field->is_number_unsigned()
                  && field->get<std::uint64_t>() <= std::numeric_limits<number>::max())) {
            value = field->get<number>();
        }
        return *this;
    }

    auto read(int &value) -> field_reader &
    {
        const auto *field = next();
        if (check(field != nullptr && isInt(*field))) {
            value = field->get<int>();
        }
        return *this;
    }

    auto read(double &value) -> field_reader &
    {
        const auto *field = next();
        if (check(field != nullptr && field->is_number_float())) {
            value = field->get<double>();
        }
        return *this;
    }

    auto read(std::string &value) -> field_reader &
    {
        const auto *field = next();
        if (check(field != nullptr && field->is_string())) {
            value = field->get<std::string>();
        }
        return *this;
    }

    template <class tag>
    auto read(core::string_id<tag> &value) -> field_reader &
    {
        std::string text;
        read(text);
        value = core::string_id<tag>{std::move(text)};
        return *this;
    }

    /// \brief Reads an enumerator; fails if it is above \p last, the last one of the enumeration.
    template <class enumeration>
    auto readEnum(enumeration &value, enumeration last) -> field_reader &
    {
        std::uint32_t number = 0;
        read(number);
        if (check(number <= static_cast<std::uint32_t>(last))) {
            value = static_cast<enumeration>(number);
        }
        return *this;
    }

    auto readBytes(std::string &value) -> field_reader &
    {
        const auto *field = next();
        if (check(field != nullptr && field->is_binary())) {
            const auto &bytes = field->get_binary();
            value.assign(bytes.begin(), bytes.end());
        }
        return *this;
    }

    /// \brief Reads a nested structure by calling \p readFields with a reader and the structure.
    template <class item, class function>
    auto readItem(item &value, function readFields) -> field_reader &
    {
        const auto *field = next();
        if (check(field != nullptr)) {
            field_reader nested{*field};
            readFields(nested, value);
            check(nested.isComplete());
        }
        return *this;
    }

    /// \brief Reads an array of nested structures by calling \p readFields for each.
    template <class item, class function>
    auto readItems(std::vector<item> &values, function readFields) -> field_reader &
    {
        const auto *field = next();
        if (!check(field != nullptr && field->is_array())) {
            return *this;
        }
        for (const auto &each : *field) {
            field_reader nested{each};
            readFields(nested, values.emplace_back());
            if (!check(nested.isComplete())) {
                return *this;
            }
        }
        return *this;
    }

private:
    static auto isInt(const nlohmann::json &field) -> bool
    {
        if (field.is_number_unsigned()) {
            return field.get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<int>::max());
        }
        return field.is_number_integer() && field.get<std::int64_t>() >= std::numeric_limits<int>::min()
            && field.get<std::int64_t>() <= std::numeric_limits<int>::max();
    }

    auto next() -> const nlohmann::json *
    {
        if (m_failed || m_next >= m_fields->size()) {
            return nullptr;
        }
        return &m_fields->at(m_next++);
    }

    auto check(bool condition) -> bool
    {
        m_failed = m_failed || !condition;
        return !m_failed;
    }

    const nlohmann::json *m_fields;
    std::size_t m_next = 0;
    bool m_failed;
};
} // namespace poplarpass::codec::internal
