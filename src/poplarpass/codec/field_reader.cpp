#include <poplarpass/codec/field_reader.h>

#include <exception>

namespace poplarpass::codec::internal
{
namespace
{
using nlohmann::json;

// The library parses nested values by recursion and reserves for lengths as announced, so both are checked beforehand.
class shape_check : public nlohmann::json_sax<json>
{
public:
    explicit shape_check(std::size_t size)
        : m_size{size}
    {
    }

    auto null() -> bool override
    {
        return true;
    }

    auto boolean(bool /*value*/) -> bool override
    {
        return true;
    }

    auto number_integer(number_integer_t /*value*/) -> bool override // NOLINT(readability-identifier-naming)
    {
        return true;
    }

    auto number_unsigned(number_unsigned_t /*value*/) -> bool override // NOLINT(readability-identifier-naming)
    {
        return true;
    }

    auto number_float(number_float_t /*value*/, const string_t & /*text*/) -> bool override // NOLINT
    {
        return true;
    }

    auto string(string_t & /*value*/) -> bool override
    {
        return true;
    }

    auto binary(binary_t & /*value*/) -> bool override
    {
        return true;
    }

    auto start_object(std::size_t elements) -> bool override // NOLINT(readability-identifier-naming)
    {
        return enter(elements);
    }

    auto key(string_t & /*value*/) -> bool override
    {
        return true;
    }

    auto end_object() -> bool override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }

    auto start_array(std::size_t elements) -> bool override // NOLINT(readability-identifier-naming)
    {
        return enter(elements);
    }

    auto end_array() -> bool override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }

    auto parse_error(std::size_t /*place*/, const std::string & /*token*/, // NOLINT(readability-identifier-naming)
                     const nlohmann::detail::exception & /*problem*/) -> bool override
    {
        return false;
    }

private:
    auto enter(std::size_t elements) -> bool
    {
        ++m_depth;
        return m_depth <= maxDepth && elements <= m_size;
    }

    std::size_t m_size;
    std::size_t m_depth = 0;
};
} // namespace

auto parseCbor(std::string_view bytes) -> core::result<nlohmann::json>
{
    try {
        shape_check shape{bytes.size()};
        if (json::sax_parse(bytes.begin(), bytes.end(), &shape, json::input_format_t::cbor)) {
            return json::from_cbor(bytes.begin(), bytes.end());
        }
    } catch (const std::exception &problem) {
        return core::failure(core::error_kind::malformed_message, problem.what());
    }
    return core::failure(core::error_kind::malformed_message, "not one CBOR value of the permitted depth");
}

auto toCbor(const nlohmann::json &value) -> std::string
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

auto binaryOf(std::string_view bytes) -> nlohmann::json
{
    return json::binary(std::vector<std::uint8_t>{bytes.begin(), bytes.end()});
}
} // namespace poplarpass::codec::internal
