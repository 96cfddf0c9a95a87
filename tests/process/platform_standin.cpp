#include "platform_standin.h"

#include <openssl/evp.h>

#include <charconv>

namespace tests
{
namespace net = poplarpass::net;
using nlohmann::json;

namespace
{
constexpr std::size_t recentAppends = 5;
constexpr std::size_t pageSize = 500;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;
constexpr std::size_t readLimitBytes = std::size_t{1024} * 1024;

auto readBigEndian(std::string_view text, std::size_t bytes) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < bytes; ++index) {
        value = (value << 8U) | static_cast<unsigned char>(text[index]);
    }
    return value;
}

auto appendBigEndian(std::string &out, std::uint64_t value, std::size_t bytes) -> void
{
    for (std::size_t index = bytes; index > 0; --index) {
        out += static_cast<char>((value >> (8 * (index - 1))) & 0xFFU);
    }
}

auto encodeBase64(const std::string &text) -> std::string
{
    std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                        reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

auto numberOf(const net::http_request &call, std::string_view name, std::uint64_t fallback) -> std::uint64_t
{
    const auto text = call.query(name).value_or("");
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}
} // namespace

platform_standin::platform_standin()
    : m_server{std::make_unique<net::http_server>(
        m_loop, "127.0.0.1:0", net::server_limits{},
        [this](const request &call, const responder_ptr &caller) { handle(call, caller); })}
{
}

platform_standin::~platform_standin()
{
    m_loop.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_waitingReads.clear();
    m_server.reset();
}

auto platform_standin::address() const -> std::string
{
    return m_server->address();
}

auto platform_standin::put(const std::string &topic, const std::string &key, const std::string &value) -> void
{
    add(topicOf(topic), {key, value, 0});
}

auto platform_standin::start() -> void
{
    m_thread = std::thread{[this] {
        m_loop.run();
    }};
}

auto platform_standin::topicOf(const std::string &name) -> topic_state &
{
    auto &topic = m_topics[name];
    topic.isKeyed = name.starts_with("keyed.");
    return topic;
}

auto platform_standin::handle(const request &call, const responder_ptr &caller) -> void
{
    const auto path = call.path();
    if (path == "/api/log-read") {
        read(call, caller);
    } else if (path == "/api/log-append") {
        caller->respond(append(call));
        completeWaitingReads();
    } else if (path == "/api/log-newest") {
        caller->respond(listNewest(call));
    } else if (path == "/api/machines") {
        caller->respond(net::makeResponse(200, R"({"machines":[],"next_token":null})"));
    } else {
        caller->respond(net::makeResponse(404, "{}"));
    }
}

auto platform_standin::add(topic_state &topic, log_record record) -> void
{
    record.offset = topic.records.size();
    topic.records.push_back(record);
    if (topic.isKeyed && record.value.empty()) {
        topic.newest.erase(record.key);
    } else if (topic.isKeyed) {
        topic.newest[record.key] = record;
    }
}

auto platform_standin::append(const request &call) -> response
{
    auto &topic = topicOf(call.query("topic").value_or(""));
    if (numberOf(call, "at", topic.records.size()) != topic.records.size()) {
        return net::makeResponse(412, json{{"end_offset", topic.records.size()}}.dump());
    }
    if (!call.query("producer")) {
        return appendRecords(topic, call.body);
    }
    auto &by = topic.writers[*call.query("producer")];
    const auto epoch = numberOf(call, "epoch", 0);
    const auto sequence = numberOf(call, "seq", 0);
    if (by.isKnown && epoch < by.epoch) {
        return net::makeResponse(409, R"({"reason":"fenced"})");
    }
    if (!by.isKnown || epoch > by.epoch) {
        by = {epoch, sequence, true, {}};
    }
    for (const auto &[known, answer] : by.recentAnswers) {
        if (known == sequence) {
            return net::makeResponse(200, answer);
        }
    }
    if (sequence != by.next) {
        return net::makeResponse(409, json{{"reason", "seq"}, {"expected", by.next}}.dump());
    }
    auto answer = appendRecords(topic, call.body);
    by.next = sequence + 1;
    by.recentAnswers.emplace_back(sequence, answer.body);
    if (by.recentAnswers.size() > recentAppends) {
        by.recentAnswers.pop_front();
    }
    return answer;
}

auto platform_standin::appendRecords(topic_state &topic, std::string_view body) -> response
{
    const auto offset = topic.records.size();
    while (body.size() >= lengthBytes) {
        const auto length = readBigEndian(body, lengthBytes);
        const auto content = body.substr(lengthBytes, length);
        body.remove_prefix(lengthBytes + content.size());
        const auto keyLength = topic.isKeyed ? static_cast<std::size_t>(static_cast<unsigned char>(content[0])) + 1 : 0;
        add(topic,
            {std::string{content.substr(0, keyLength).substr(keyLength > 0 ? 1 : 0)},
             std::string{content.substr(keyLength)}, 0});
    }
    return net::makeResponse(200, json{{"offset", offset}, {"end_offset", topic.records.size()}}.dump());
}

auto platform_standin::read(const request &call, const responder_ptr &caller) -> void
{
    waiting_read waiting{call.query("topic").value_or(""), numberOf(call, "from", 0), caller, nullptr};
    const std::chrono::milliseconds wait{numberOf(call, "wait_ms", 0)};
    if (topicOf(waiting.topic).records.size() > waiting.from || wait.count() == 0) {
        answerRead(waiting);
        return;
    }
    waiting.timer = std::make_shared<boost::asio::steady_timer>(m_loop, wait);
    const auto position = m_waitingReads.insert(m_waitingReads.end(), waiting);
    waiting.timer->async_wait([this, position](boost::system::error_code cancelled) {
        if (!cancelled) {
            answerRead(*position);
            m_waitingReads.erase(position);
        }
    });
}

auto platform_standin::answerRead(const waiting_read &waiting) -> void
{
    const auto &topic = topicOf(waiting.topic);
    std::string body;
    appendBigEndian(body, topic.records.size(), offsetBytes);
    appendBigEndian(body, 0, offsetBytes);
    for (auto offset = waiting.from; offset < topic.records.size() && body.size() < readLimitBytes; ++offset) {
        const auto &record = topic.records[offset];
        const auto key =
            topic.isKeyed ? std::string(1, static_cast<char>(record.key.size())) + record.key : std::string{};
        appendBigEndian(body, key.size() + record.value.size(), lengthBytes);
        body += key + record.value;
    }
    waiting.caller->respond(net::makeResponse(200, std::move(body), "application/octet-stream"));
}

auto platform_standin::completeWaitingReads() -> void
{
    for (auto waiting = m_waitingReads.begin(); waiting != m_waitingReads.end();) {
        // A timer that has expired answers in its own handler.
        const bool hasRecords = topicOf(waiting->topic).records.size() > waiting->from;
        if (hasRecords && waiting->timer->cancel() > 0) {
            answerRead(*waiting);
            waiting = m_waitingReads.erase(waiting);
        } else {
            ++waiting;
        }
    }
}

auto platform_standin::listNewest(const request &call) -> response
{
    const auto &topic = topicOf(call.query("topic").value_or(""));
    json items = json::array();
    auto entry = topic.newest.upper_bound(call.query("after").value_or(""));
    for (; entry != topic.newest.end() && items.size() < pageSize; ++entry) {
        items.push_back(
            {{"key", entry->first}, {"value", encodeBase64(entry->second.value)}, {"offset", entry->second.offset}});
    }
    const json page{{"items", items}, {"has_more", entry != topic.newest.end()}, {"end_offset", topic.records.size()}};
    return net::makeResponse(200, page.dump());
}
} // namespace tests
