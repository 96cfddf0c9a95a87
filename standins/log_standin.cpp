#include "log_standin.h"

#include "json_http.h"

#include <poplarpass/platform/constants.h>

#include <algorithm>

namespace standins
{
using nlohmann::json;
using poplarpass::net::http_request;
using poplarpass::platform::log_entry;
using std::chrono::milliseconds;

namespace
{
constexpr std::uint64_t defaultPageRecords = 512;
constexpr std::size_t pageBytes = std::size_t{16} * 1024 * 1024;

auto encodeEntry(const log_entry &entry) -> json
{
    const std::vector<std::uint8_t> bytes{entry.payload.begin(), entry.payload.end()};
    return {{"offset", entry.offset}, {"id", entry.id.str()}, {"payload", json::binary(bytes)}};
}

auto mergeFaults(log_faults faults, const json &document) -> log_faults
{
    readMember(document, "outage", faults.outage);
    readMember(document, "slow_ms", faults.slowMs);
    readMember(document, "lose_answer_rate", faults.loseAnswerRate);
    readMember(document, "lose_next", faults.loseNext);
    readMember(document, "appends_per_second", faults.appendsPerSecond);
    readMember(document, "retain_records", faults.retainRecords);
    return faults;
}

auto encodeStats(const log_stats &stats) -> json
{
    return {{"appends", stats.appends},
            {"reads", stats.reads},
            {"bytes", stats.bytes},
            {"lost_answers", stats.lostAnswers},
            {"appends_per_second_peak", stats.appendsPerSecondPeak}};
}
} // namespace

log_standin::log_standin(boost::asio::io_context &loop, std::string_view address, std::uint64_t seed)
    : m_random{seed}
    , m_timers{loop}
    , m_server{loop, address, {}, [this](const http_request &request, const responder_ptr &responder) {
                   handle(request, responder);
               }}
{
}

auto log_standin::address() const -> std::string
{
    return m_server.address();
}

auto log_standin::faults() const -> const log_faults &
{
    return m_faults;
}

auto log_standin::stats() const -> const log_stats &
{
    return m_stats;
}

auto log_standin::setFaults(const log_faults &faults) -> void
{
    m_faults = faults;
    if (m_faults.outage) {
        failWaitingReads();
    }
}

auto log_standin::trim(offset before) -> void
{
    while (!m_entries.empty() && m_entries.front().offset < before) {
        m_entries.pop_front();
    }
    m_firstOffset = std::max(m_firstOffset, std::min(before, m_nextOffset));
}

auto log_standin::handle(const http_request &request, const responder_ptr &responder) -> void
{
    const bool isAppend = request.method == "POST" && request.path() == "/append";
    const bool isRead = request.method == "GET" && request.path() == "/read";
    if (!isAppend && !isRead) {
        handleControl(request, responder);
        return;
    }
    const auto process = [this, isAppend, request, responder] {
        if (m_faults.outage) {
            responder->respond(errorResponse(503, "outage"));
        } else if (isAppend) {
            append(request, responder);
        } else {
            read(request, responder);
        }
    };
    const auto delay = milliseconds{m_faults.slowMs} + (isAppend ? appendDelay() : milliseconds{0});
    if (delay.count() > 0) {
        m_timers.after(delay, process);
    } else {
        process();
    }
}

auto log_standin::handleControl(const http_request &request, const responder_ptr &responder) -> void
{
    if (request.method == "GET" && request.path() == "/stats") {
        responder->respond(jsonResponse(200, encodeStats(m_stats)));
        return;
    }
    const auto document = jsonBody(request);
    if (request.method != "POST" || !document) {
        responder->respond(errorResponse(400, "not a request of the log"));
        return;
    }
    try {
        if (request.path() == "/fault") {
            setFaults(mergeFaults(m_faults, *document));
        } else if (request.path() == "/trim") {
            trim(document->at("before").get<offset>());
        } else {
            responder->respond(errorResponse(404, "unknown path"));
            return;
        }
        responder->respond(jsonResponse(200, json::object()));
    } catch (const json::exception &problem) {
        responder->respond(errorResponse(400, problem.what()));
    }
}

auto log_standin::appendDelay() -> std::chrono::microseconds
{
    if (m_faults.appendsPerSecond <= 0) {
        return std::chrono::microseconds{0};
    }
    const auto now = std::chrono::steady_clock::now();
    const auto start = std::max(now, m_nextAppend);
    m_nextAppend = start + std::chrono::microseconds{1'000'000 / m_faults.appendsPerSecond};
    return std::chrono::duration_cast<std::chrono::microseconds>(start - now);
}

auto log_standin::append(const http_request &request, const responder_ptr &responder) -> void
{
    const auto id = textHeader(request, poplarpass::platform::headers::recordId);
    if (id.empty()) {
        responder->respond(errorResponse(400, "no record id"));
        return;
    }
    const auto newOffset = m_nextOffset++;
    m_entries.push_back({newOffset, poplarpass::core::record_id{id}, request.body});
    countAppend(request.body.size());
    if (m_faults.retainRecords > 0 && m_entries.size() > m_faults.retainRecords) {
        trim(m_nextOffset - m_faults.retainRecords);
    }
    completeWaitingReads();
    if (!decideAnswerLoss()) {
        responder->respond(jsonResponse(200, {{"offset", newOffset}}));
    } else if (m_random() % 2 == 0) {
        responder->disconnect();
    } else {
        responder->respond(errorResponse(503, "busy"));
    }
}

auto log_standin::countAppend(std::size_t bytes) -> void
{
    ++m_stats.appends;
    m_stats.bytes += bytes;
    const auto second = unixMilliseconds() / 1000;
    m_appendsThisSecond = second == m_currentSecond ? m_appendsThisSecond + 1 : 1;
    m_currentSecond = second;
    m_stats.appendsPerSecondPeak = std::max(m_stats.appendsPerSecondPeak, m_appendsThisSecond);
}

auto log_standin::decideAnswerLoss() -> bool
{
    const bool forced = m_faults.loseNext > 0;
    m_faults.loseNext -= forced ? 1 : 0;
    const bool lost = forced || std::bernoulli_distribution{m_faults.loseAnswerRate}(m_random);
    m_stats.lostAnswers += lost ? 1 : 0;
    return lost;
}

auto log_standin::read(const http_request &request, const responder_ptr &responder) -> void
{
    const auto from = std::max<offset>(1, numberQuery(request, "from", 1));
    const auto max = std::max<std::uint64_t>(1, numberQuery(request, "max", defaultPageRecords));
    const auto wait = milliseconds{numberQuery(request, "wait_ms", 0)};
    if (from < m_nextOffset || from < m_firstOffset || wait.count() == 0) {
        respondWithPage(from, max, responder);
    } else {
        waitForRecords(from, max, wait, responder);
    }
}

auto log_standin::waitForRecords(offset from, std::uint64_t max, milliseconds wait, const responder_ptr &responder)
    -> void
{
    const auto reader = m_waitingReads.insert(m_waitingReads.end(), {from, max, responder, {}});
    reader->timer = m_timers.after(wait, [this, reader] {
        const auto waiting = std::move(*reader);
        m_waitingReads.erase(reader);
        respondWithPage(waiting.from, waiting.max, waiting.responder);
    });
    responder->onDisconnect([this, reader] {
        m_timers.cancel(reader->timer);
        m_waitingReads.erase(reader);
    });
}

auto log_standin::completeWaitingReads() -> void
{
    auto waiting = std::exchange(m_waitingReads, {});
    for (auto reader = waiting.begin(); reader != waiting.end();) {
        const auto next = std::next(reader);
        if (reader->from >= m_nextOffset) {
            m_waitingReads.splice(m_waitingReads.end(), waiting, reader);
        } else {
            m_timers.cancel(reader->timer);
            respondWithPage(reader->from, reader->max, reader->responder);
        }
        reader = next;
    }
}

auto log_standin::failWaitingReads() -> void
{
    const auto waiting = std::exchange(m_waitingReads, {});
    for (const auto &reader : waiting) {
        m_timers.cancel(reader.timer);
        reader.responder->respond(errorResponse(503, "outage"));
    }
}

auto log_standin::respondWithPage(offset from, std::uint64_t max, const responder_ptr &responder) -> void
{
    ++m_stats.reads;
    if (from < m_firstOffset) {
        responder->respond(jsonResponse(410, {{"first", m_firstOffset}}));
        return;
    }
    json entries = json::array();
    std::size_t bytes = 0;
    for (auto index = from - m_firstOffset; index < m_entries.size() && entries.size() < max && bytes < pageBytes;
         ++index) {
        const auto &entry = m_entries[index];
        bytes += entry.payload.size();
        entries.push_back(encodeEntry(entry));
    }
    const json page{{"first", m_firstOffset}, {"next", m_nextOffset}, {"entries", std::move(entries)}};
    const auto encoded = json::to_cbor(page);
    responder->respond(poplarpass::net::makeResponse(200, {encoded.begin(), encoded.end()}, "application/cbor"));
}
} // namespace standins
