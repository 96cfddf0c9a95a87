#include <poplarpass/codec/cbor_depth.h>
#include <poplarpass/codec/field_reader.h>

#include <exception>

namespace poplarpass::codec::internal
{
using nlohmann::json;

auto parseCbor(std::string_view bytes) -> core::result<nlohmann::json>
{
    if (!cborDepthWithin(bytes, maxDepth)) {
        return core::failure(core::error_kind::malformed_message,
                             "CBOR item of indefinite length or nested too deeply");
    }
    // The library throws on a declared length beyond the available memory, even with exceptions disabled.
    try {
        return json::from_cbor(bytes.begin(), bytes.end());
    } catch (const std::exception &problem) {
        return core::failure(core::error_kind::malformed_message, problem.what());
    }
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
