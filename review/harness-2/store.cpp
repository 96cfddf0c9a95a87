#include "store.h"

#include <nlohmann/json.hpp>

namespace harness
{
using nlohmann::json;

namespace
{
constexpr std::chrono::milliseconds answerTime{4};
constexpr std::size_t recentAppends = 5;
constexpr std::size_t pageSize = 500;

std::uint64_t readBigEndian(const std::string &text, std::size_t at, std::size_t bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(text[at + i]);
    }
    return value;
}

void writeBigEndian(std::string &out, std::uint64_t value, std::size_t bytes)
{
    for (std::size_t i = bytes; i > 0; --i) {
        out += static_cast<char>((value >> (8 * (i - 1))) & 0xFFU);
    }
}

std::string base64(const std::string &text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t block = 0;
        const auto count = std::min<std::size_t>(3, text.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            block = (block << 8U) | (j < count ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += j <= count ? digits[(block >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return out;
}

std::uint64_t numberOf(const http_request &request, const std::string &name, std::uint64_t otherwise)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? otherwise : std::stoull(found->second);
}
} // namespace

std::size_t store::addDoor(const std::string &ip)
{
    const auto number = m_doors.size();
    m_doors.push_back(std::make_unique<door>());
    m_doors.back()->server = std::make_unique<http_server>(
        ip, [this, number](const http_request &request) { return handle(number, request); });
    return number;
}

void store::setSilent(std::size_t number, bool silent)
{
    {
        const std::lock_guard lock{m_mutex};
        m_doors[number]->silent = silent;
    }
    m_changed.notify_all();
}

bool store::awaitService(std::size_t number)
{
    std::unique_lock lock{m_mutex};
    m_changed.wait(lock, [&] { return m_ending || !m_doors[number]->silent; });
    return !m_ending;
}

store::~store()
{
    {
        const std::lock_guard lock{m_mutex};
        m_ending = true;
    }
    m_changed.notify_all();
    for (const auto &entry : m_doors) {
        entry->server->stop();
    }
}

store::topic_state &store::topicOf(const std::string &name)
{
    auto &topic = m_topics[name];
    topic.keyed = name.rfind("keyed.", 0) == 0;
    return topic;
}

void store::add(topic_state &topic, log_record record)
{
    record.offset = topic.records.size();
    topic.records.push_back(record);
    if (topic.keyed && record.value.empty()) {
        topic.newest.erase(record.key);
    } else if (topic.keyed) {
        topic.newest[record.key] = record;
    }
}

void store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    {
        const std::lock_guard lock{m_mutex};
        add(topicOf(topic), {key, value, 0});
    }
    m_changed.notify_all();
}

std::string store::newest(const std::string &topic, const std::string &key)
{
    const std::lock_guard lock{m_mutex};
    auto &state = topicOf(topic);
    const auto found = state.newest.find(key);
    return found == state.newest.end() ? std::string{} : found->second.value;
}

std::vector<std::string> store::keys(const std::string &topic)
{
    const std::lock_guard lock{m_mutex};
    std::vector<std::string> names;
    for (const auto &[key, record] : topicOf(topic).newest) {
        names.push_back(key);
    }
    return names;
}

// A call of a machine that is turned away is neither carried out nor answered: the caller has given it up by the time
// that the machine is served again, so its connection is closed then. The same holds for answers that are due
// meanwhile.
std::optional<http_response> store::handle(std::size_t number, const http_request &request)
{
    std::this_thread::sleep_for(answerTime);
    const auto isSilent = [&] {
        const std::lock_guard lock{m_mutex};
        return m_doors[number]->silent;
    };
    std::optional<http_response> response;
    if (!isSilent()) {
        response = request.path == "/api/log-append" ? append(number, request)
            : request.path == "/api/log-read"        ? read(request)
            : request.path == "/api/log-newest"      ? listNewest(request)
                                                     : http_response{404};
    }
    if (!response || isSilent()) {
        awaitService(number);
        return std::nullopt;
    }
    return response;
}

http_response store::append(std::size_t number, const http_request &request)
{
    append_event event;
    event.door = number;
    event.topic = request.query.at("topic");
    http_response response;
    {
        const std::lock_guard lock{m_mutex};
        auto &topic = topicOf(event.topic);
        if (event.topic == "keyed.op" || event.topic == "keyed.servers") {
            return {403};
        }
        const auto expectedEnd = numberOf(request, "at", topic.records.size());
        if (expectedEnd != topic.records.size()) {
            return {412, json{{"end_offset", topic.records.size()}}.dump()};
        }
        writer *by = nullptr;
        std::uint64_t sequence = 0;
        if (request.query.count("producer")) {
            by = &topic.writers[request.query.at("producer")];
            event.epoch = numberOf(request, "epoch", 0);
            sequence = numberOf(request, "seq", 0);
            if (by->any && event.epoch < by->epoch) {
                return {409, json{{"reason", "fenced"}}.dump()};
            }
            if (!by->any || event.epoch > by->epoch) {
                *by = {event.epoch, sequence, true, {}};
            }
            for (const auto &[known, answer] : by->recent) {
                if (known == sequence) {
                    return {200, answer};
                }
            }
            if (sequence != by->next) {
                return {409, json{{"reason", "seq"}, {"expected", by->next}}.dump()};
            }
        }
        const auto offset = topic.records.size();
        std::size_t at = 0;
        while (at + 4 <= request.body.size()) {
            const auto length = readBigEndian(request.body, at, 4);
            auto content = request.body.substr(at + 4, length);
            at += 4 + length;
            log_record record;
            if (topic.keyed) {
                const auto keyLength = static_cast<unsigned char>(content[0]);
                record.key = content.substr(1, keyLength);
                record.value = content.substr(1 + keyLength);
            } else {
                record.value = content;
            }
            event.records.push_back(record);
            add(topic, record);
        }
        response.body = json{{"offset", offset}, {"end_offset", topic.records.size()}}.dump();
        if (by != nullptr) {
            by->next = sequence + 1;
            by->recent.emplace_back(sequence, response.body);
            if (by->recent.size() > recentAppends) {
                by->recent.pop_front();
            }
        }
    }
    m_changed.notify_all();
    if (onAppended) {
        onAppended(event);
    }
    return response;
}

http_response store::read(const http_request &request)
{
    std::unique_lock lock{m_mutex};
    auto &topic = topicOf(request.query.at("topic"));
    const auto from = numberOf(request, "from", 0);
    const std::chrono::milliseconds wait{numberOf(request, "wait_ms", 0)};
    m_changed.wait_for(lock, wait, [&] { return m_ending || topic.records.size() > from; });
    http_response response;
    response.contentType = "application/octet-stream";
    response.body.clear();
    writeBigEndian(response.body, topic.records.size(), 8);
    writeBigEndian(response.body, 0, 8);
    const auto limit = numberOf(request, "max_kb", 1024) * 1024;
    for (auto offset = from; offset < topic.records.size() && response.body.size() < limit; ++offset) {
        const auto &record = topic.records[offset];
        const auto content = topic.keyed
            ? std::string(1, static_cast<char>(record.key.size())) + record.key + record.value
            : record.value;
        writeBigEndian(response.body, content.size(), 4);
        response.body += content;
    }
    return response;
}

http_response store::listNewest(const http_request &request)
{
    const std::lock_guard lock{m_mutex};
    auto &topic = topicOf(request.query.at("topic"));
    const auto after = request.query.count("after") ? request.query.at("after") : std::string{};
    json items = json::array();
    auto entry = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
    for (; entry != topic.newest.end() && items.size() < pageSize; ++entry) {
        items.push_back(
            {{"key", entry->first}, {"value", base64(entry->second.value)}, {"offset", entry->second.offset}});
    }
    return {
        200,
        json{{"items", items}, {"has_more", entry != topic.newest.end()}, {"end_offset", topic.records.size()}}.dump()};
}
} // namespace harness
