#include "store.h"

#include <nlohmann/json.hpp>

namespace review
{
using nlohmann::json;

namespace
{
constexpr std::size_t pageItems = 500;
constexpr std::size_t pageBytes = 1000000;
constexpr std::size_t keptAnswers = 5;

std::uint32_t readLength(const std::string &data, std::size_t position)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        value = (value << 8) | static_cast<unsigned char>(data[position + i]);
    }
    return value;
}

void appendNumber(std::string &out, std::uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; --i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
    }
}

std::string base64(const std::string &in)
{
    static const char table[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8) | (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j <= in.size() ? table[(group >> (18 - 6 * j)) & 63] : '=';
        }
    }
    return out;
}

bool isKeyed(const std::string &topic)
{
    return topic.rfind("keyed.", 0) == 0;
}
} // namespace

Store::Store(StoreLimits limits)
    : m_limits{limits}
    , m_answerMs{limits.answerMs}
    , m_server{[this](const Request &request) {
        return handle(request);
    }}
{
}

std::string Store::address() const
{
    return m_server.address();
}

void Store::setAnswerMs(std::int64_t ms)
{
    m_answerMs = ms;
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock{m_mutex};
    add(topic, m_topics[topic], std::string(1, static_cast<char>(key.size())) + key + value);
    m_changed.notify_all();
}

void Store::add(const std::string &name, Topic &topic, std::string content)
{
    const auto offset = topic.records.size();
    if (isKeyed(name) && !content.empty()) {
        const auto length = static_cast<std::size_t>(static_cast<unsigned char>(content[0]));
        const auto key = content.substr(1, length);
        const auto value = content.substr(1 + length);
        if (value.empty()) {
            topic.newest.erase(key);
        } else {
            topic.newest[key] = {value, offset};
        }
    }
    topic.records.push_back(std::move(content));
}

Response Store::handle(const Request &request)
{
    if (request.path == "/api/log-append") {
        return append(request);
    }
    if (request.path == "/api/log-read") {
        return read(request);
    }
    if (request.path == "/api/log-newest") {
        sleepMs(m_answerMs);
        return newest(request);
    }
    return {404, "{}"};
}

Response Store::append(const Request &request)
{
    sleepMs(m_answerMs);
    const std::lock_guard lock{m_mutex};
    auto response = applyAppend(request);
    m_changed.notify_all();
    return response;
}

Response Store::applyAppend(const Request &request)
{
    const auto name = request.parameter("topic");
    if (name == "keyed.op" || name == "keyed.servers") {
        return {403, "{}"};
    }
    std::vector<std::string> records;
    for (std::size_t position = 0; position < request.body.size();) {
        if (request.body.size() - position < 4
            || request.body.size() - position - 4 < readLength(request.body, position)) {
            return {400, R"({"error":"malformed"})"};
        }
        const auto length = readLength(request.body, position);
        records.push_back(request.body.substr(position + 4, length));
        position += 4 + length;
        if (length > m_limits.recordBytes) {
            if (onTooLarge) {
                onTooLarge("a record of " + std::to_string(length) + " bytes for " + name);
            }
            return {413, R"({"error":"record too large"})"};
        }
    }
    if (request.body.size() > m_limits.callBytes) {
        if (onTooLarge) {
            onTooLarge("a call of " + std::to_string(request.body.size()) + " bytes for " + name);
        }
        return {413, R"({"error":"call too large"})"};
    }
    auto &topic = m_topics[name];
    const auto at = request.number("at", -1);
    if (at >= 0 && static_cast<std::size_t>(at) != topic.records.size()) {
        return {412, json{{"end_offset", topic.records.size()}}.dump()};
    }
    const auto producerName = request.parameter("producer");
    auto *producer = producerName.empty() ? nullptr : &topic.producers[producerName];
    const auto epoch = request.number("epoch", 0);
    const auto sequence = request.number("seq", 0);
    if (producer != nullptr) {
        if (epoch < producer->epoch) {
            return {409, R"({"reason":"fenced"})"};
        }
        if (epoch > producer->epoch) {
            *producer = Producer{epoch, -1, {}};
        }
        for (const auto &[number, answer] : producer->answers) {
            if (number == sequence) {
                return answer;
            }
        }
        if (producer->next >= 0 && sequence != producer->next) {
            return {409, json{{"reason", "seq"}, {"seq", producer->next}}.dump()};
        }
    }
    const auto offset = topic.records.size();
    for (auto &record : records) {
        add(name, topic, std::move(record));
    }
    Response response{200, json{{"offset", offset}, {"end_offset", topic.records.size()}}.dump()};
    if (producer != nullptr) {
        producer->next = sequence + 1;
        producer->answers.emplace_back(sequence, response);
        if (producer->answers.size() > keptAnswers) {
            producer->answers.pop_front();
        }
    }
    return response;
}

Response Store::read(const Request &request)
{
    const auto from = static_cast<std::size_t>(request.number("from", 0));
    const auto most = static_cast<std::size_t>(request.number("max_kb", 1024)) * 1024;
    const auto wait = request.number("wait_ms", 0);
    std::unique_lock lock{m_mutex};
    auto &topic = m_topics[request.parameter("topic")];
    m_changed.wait_for(lock, std::chrono::milliseconds{wait}, [&] { return topic.records.size() > from; });
    std::string body;
    appendNumber(body, topic.records.size(), 8);
    appendNumber(body, 0, 8);
    for (auto offset = from; offset < topic.records.size() && body.size() < most; ++offset) {
        appendNumber(body, topic.records[offset].size(), 4);
        body += topic.records[offset];
    }
    lock.unlock();
    sleepMs(m_answerMs);
    return {200, std::move(body), "application/octet-stream"};
}

Response Store::newest(const Request &request)
{
    const std::lock_guard lock{m_mutex};
    const auto &topic = m_topics[request.parameter("topic")];
    const auto after = request.parameter("after");
    json items = json::array();
    std::size_t bytes = 0;
    bool more = false;
    auto entry = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
    for (; entry != topic.newest.end(); ++entry) {
        if (items.size() >= pageItems || bytes > pageBytes) {
            more = true;
            break;
        }
        items.push_back(
            {{"key", entry->first}, {"value", base64(entry->second.value)}, {"offset", entry->second.offset}});
        bytes += entry->second.value.size();
    }
    return {200, json{{"items", items}, {"has_more", more}, {"end_offset", topic.records.size()}}.dump()};
}
} // namespace review
