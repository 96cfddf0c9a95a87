#include <poplarpass/codec/cbor_depth.h>
#include <poplarpass/codec/peer_codec.h>
#include <poplarpass/codec/peer_fields.h>
#include <poplarpass/request/constants.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <type_traits>
#include <utility>

namespace poplarpass::codec
{
namespace
{
using nlohmann::json;

constexpr std::size_t maxMessageDepth = 8;

// In the order of the alternatives of request::peer_message.
constexpr std::array<std::string_view, std::variant_size_v<request::peer_message>> messageTypeNames{
    "grant_request",  "grant_reply",      "promise_request", "promise_reply",  "job_query", "job_report",
    "cancel_request", "cancel_reply",     "delegate",        "delegate_reply", "handover",  "handover_reply",
    "heartbeat",      "sightings_report", "state_request",   "state_reply"};

// Last enumerator of each enumeration in the messages; larger values are rejected.
template <class type>
constexpr type lastValue = type{};
template <>
constexpr auto lastValue<request::urgency> = request::urgency::batch;
template <>
constexpr auto lastValue<request::grant_status> = request::grant_status::conflict;
template <>
constexpr auto lastValue<request::promise_status> = request::promise_status::conflict;
template <>
constexpr auto lastValue<request::job_phase> = request::job_phase::conflict;
template <>
constexpr auto lastValue<request::cancel_outcome> = request::cancel_outcome::unresolved;
template <>
constexpr auto lastValue<request::delegate_status> = request::delegate_status::answered;

struct message_writer
{
    template <class type>
    using as = const type &;

    json object = json::object();

    template <class type>
    auto field(const char *name, const type &value) -> void
    {
        object[name] = toJson(value);
    }

    static auto toJson(std::uint64_t value) -> json
    {
        return value;
    }

    static auto toJson(int value) -> json
    {
        return value;
    }

    static auto toJson(bool value) -> json
    {
        return value;
    }

    static auto toJson(const std::string &value) -> json
    {
        return json::binary({value.begin(), value.end()});
    }

    static auto toJson(core::duration value) -> json
    {
        return value.count();
    }

    static auto toJson(core::wall_time value) -> json
    {
        return value.time_since_epoch().count();
    }

    template <class tag>
    static auto toJson(const core::string_id<tag> &value) -> json
    {
        return toJson(value.str());
    }

    static auto toJson(const request::job_answer &value) -> json
    {
        if (value) {
            return {{"output", toJson(*value)}};
        }
        const auto &problem = value.error();
        json object{{"kind", core::errorSpecOf(problem.kind).name}, {"detail", toJson(problem.detail)}};
        object["retryAfter"] = problem.retryAfter ? json(problem.retryAfter->count()) : json(nullptr);
        return object;
    }

    template <class type>
    static auto toJson(const std::optional<type> &value) -> json
    {
        return value ? toJson(*value) : json(nullptr);
    }

    template <class type>
    static auto toJson(const std::vector<type> &value) -> json
    {
        auto list = json::array();
        for (const auto &element : value) {
            list.push_back(toJson(element));
        }
        return list;
    }

    template <class type>
    static auto toJson(const type &value) -> json
    {
        if constexpr (std::is_enum_v<type>) {
            return static_cast<std::uint64_t>(value);
        } else {
            message_writer nested;
            internal::visitFields(nested, value);
            return std::move(nested.object);
        }
    }
};

class message_reader
{
public:
    template <class type>
    using as = type &;

    explicit message_reader(const json &object)
        : m_object{object}
        , m_valid{object.is_object()}
    {
    }

    template <class type>
    auto field(const char *name, type &value) -> void
    {
        if (!m_valid) {
            return;
        }
        const auto found = m_object.find(name);
        m_valid = found != m_object.end() && fromJson(*found, value);
        ++m_fieldCount;
    }

    [[nodiscard]] auto isComplete(std::size_t extraFields) const -> bool
    {
        return m_valid && m_object.size() == m_fieldCount + extraFields;
    }

private:
    static auto fromJson(const json &source, std::uint64_t &value) -> bool
    {
        if (!source.is_number_unsigned()) {
            return false;
        }
        value = source.get<std::uint64_t>();
        return true;
    }

    static auto fromJson(const json &source, std::int64_t &value) -> bool
    {
        if (!source.is_number_integer()) {
            return false;
        }
        if (source.is_number_unsigned() && source.get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max()) {
            return false;
        }
        value = source.get<std::int64_t>();
        return true;
    }

    static auto fromJson(const json &source, int &value) -> bool
    {
        std::int64_t wide = 0;
        if (!fromJson(source, wide) || wide < std::numeric_limits<int>::min()
            || wide > std::numeric_limits<int>::max()) {
            return false;
        }
        value = static_cast<int>(wide);
        return true;
    }

    static auto fromJson(const json &source, bool &value) -> bool
    {
        if (!source.is_boolean()) {
            return false;
        }
        value = source.get<bool>();
        return true;
    }

    static auto fromJson(const json &source, std::string &value) -> bool
    {
        if (!source.is_binary()) {
            return false;
        }
        const auto &bytes = source.get_binary();
        value.assign(bytes.begin(), bytes.end());
        return true;
    }

    static auto fromJson(const json &source, core::duration &value) -> bool
    {
        std::int64_t microseconds = 0;
        const bool valid = fromJson(source, microseconds);
        value = core::duration{microseconds};
        return valid;
    }

    static auto fromJson(const json &source, core::wall_time &value) -> bool
    {
        core::duration sinceEpoch{};
        const bool valid = fromJson(source, sinceEpoch);
        value = core::wall_time{sinceEpoch};
        return valid;
    }

    template <class tag>
    static auto fromJson(const json &source, core::string_id<tag> &value) -> bool
    {
        std::string text;
        const bool valid = fromJson(source, text);
        value = core::string_id<tag>{std::move(text)};
        return valid;
    }

    static auto fromJson(const json &source, request::job_answer &value) -> bool
    {
        if (!source.is_object()) {
            return false;
        }
        if (source.contains("output")) {
            value = std::string{};
            return source.size() == 1 && fromJson(source["output"], *value);
        }
        if (source.size() != 3 || !source.contains("kind") || !source.contains("detail")
            || !source.contains("retryAfter") || !source["kind"].is_string()) {
            return false;
        }
        const auto kind = core::errorKindFromName(source["kind"].get_ref<const std::string &>());
        core::error problem;
        if (!kind || !fromJson(source["detail"], problem.detail)
            || !fromJson(source["retryAfter"], problem.retryAfter)) {
            return false;
        }
        problem.kind = *kind;
        value = tl::make_unexpected(std::move(problem));
        return true;
    }

    template <class type>
    static auto fromJson(const json &source, std::optional<type> &value) -> bool
    {
        if (source.is_null()) {
            value.reset();
            return true;
        }
        return fromJson(source, value.emplace());
    }

    template <class type>
    static auto fromJson(const json &source, std::vector<type> &value) -> bool
    {
        if (!source.is_array()) {
            return false;
        }
        for (const auto &element : source) {
            if (!fromJson(element, value.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    template <class type>
    static auto fromJson(const json &source, type &value) -> bool
    {
        if constexpr (std::is_enum_v<type>) {
            std::uint64_t number = 0;
            if (!fromJson(source, number) || number > static_cast<std::uint64_t>(lastValue<type>)) {
                return false;
            }
            value = static_cast<type>(number);
            return true;
        } else {
            message_reader nested{source};
            internal::visitFields(nested, value);
            return nested.isComplete(0);
        }
    }

    const json &m_object;
    bool m_valid;
    std::size_t m_fieldCount = 0;
};

auto malformed(std::string_view description) -> tl::unexpected<core::error>
{
    return core::failure(core::error_kind::malformed_message, std::string{description});
}

// The map holds "version" and "type" in addition to the fields of the message.
template <std::size_t index = 0>
auto decodeAs(std::string_view type, const json &object) -> core::result<request::peer_message>
{
    if constexpr (index < messageTypeNames.size()) {
        if (messageTypeNames[index] != type) {
            return decodeAs<index + 1>(type, object);
        }
        std::variant_alternative_t<index, request::peer_message> message;
        message_reader fields{object};
        internal::visitFields(fields, message);
        if (!fields.isComplete(2)) {
            return malformed("message field missing, unknown or of the wrong type");
        }
        return request::peer_message{std::move(message)};
    } else {
        return malformed("unknown message type");
    }
}
} // namespace

auto encodePeerMessage(const request::peer_message &message) -> std::string
{
    message_writer fields;
    fields.object["version"] = request::peerProtocolVersion;
    fields.object["type"] = messageTypeNames[message.index()];
    std::visit([&fields](const auto &content) { internal::visitFields(fields, content); }, message);
    std::string bytes;
    json::to_cbor(fields.object, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

auto decodePeerMessage(std::string_view bytes) -> core::result<request::peer_message>
{
    if (bytes.size() > request::maxPeerMessageBytes) {
        return malformed("message exceeds the size limit");
    }
    if (!internal::cborDepthWithin(bytes, maxMessageDepth)) {
        return malformed("message nested too deeply");
    }
    const auto object = json::from_cbor(bytes, true, false);
    if (!object.is_object()) {
        return malformed("message is not a CBOR map");
    }
    const auto version = object.find("version");
    if (version == object.end() || *version != request::peerProtocolVersion) {
        return malformed("unknown protocol version");
    }
    const auto type = object.find("type");
    if (type == object.end() || !type->is_string()) {
        return malformed("message type missing or not a string");
    }
    return decodeAs(type->get_ref<const std::string &>(), object);
}
} // namespace poplarpass::codec
