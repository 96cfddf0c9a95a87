#pragma once

#include "timers.h"

#include <poplarpass/net/http_server.h>
#include <poplarpass/platform/log_service.h>

#include <chrono>
#include <deque>
#include <list>
#include <random>

namespace standins
{
/// \brief Faults injected by the log stand-in, set by `POST /fault`.
struct log_faults
{
    bool outage = false; ///< Every append and read fails with status 503 and has no effect.
    std::int64_t slowMs = 0; ///< Delay before every append and read takes effect.
    double loseAnswerRate = 0; ///< Fraction of appends whose response is lost after the record is stored.
    std::int64_t loseNext = 0; ///< Number of upcoming appends whose response is lost after the record is stored.
    std::int64_t appendsPerSecond = 0; ///< Appends beyond this rate are delayed; 0 is no limit.
    std::uint64_t retainRecords = 0; ///< Number of records retained, older ones are trimmed; 0 retains all.
};

/// \brief Counters of the log stand-in, returned by `GET /stats`.
struct log_stats
{
    std::uint64_t appends = 0; ///< Records appended.
    std::uint64_t reads = 0; ///< Reads completed, except those failed by an outage.
    std::uint64_t bytes = 0; ///< Payload bytes appended.
    std::uint64_t lostAnswers = 0; ///< Appends whose response was lost.
    std::uint64_t appendsPerSecondPeak = 0; ///< Highest number of appends within one second of the system clock.
};

/// \brief In-memory append-only log service with offsets, long polling, trimming and fault injection.
class log_standin
{
public:
    /// \param address "IP:port" to listen on
    log_standin(boost::asio::io_context &loop, std::string_view address, std::uint64_t seed);

    /// \brief Returns the "IP:port" that the server listens on.
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Replaces the faults; an outage fails the waiting reads.
    auto setFaults(const log_faults &faults) -> void;

    [[nodiscard]] auto faults() const -> const log_faults &;

    /// \brief Removes the records before \p offset.
    auto trim(poplarpass::platform::log_offset offset) -> void;

    [[nodiscard]] auto stats() const -> const log_stats &;

private:
    using offset = poplarpass::platform::log_offset;
    using responder_ptr = std::shared_ptr<poplarpass::net::responder>;

    struct waiting_read
    {
        offset from;
        std::uint64_t max;
        responder_ptr responder;
        timer_id timer;
    };

    auto handle(const poplarpass::net::http_request &request, const responder_ptr &responder) -> void;
    auto handleControl(const poplarpass::net::http_request &request, const responder_ptr &responder) -> void;
    auto appendDelay() -> std::chrono::microseconds;
    auto append(const poplarpass::net::http_request &request, const responder_ptr &responder) -> void;
    auto countAppend(std::size_t bytes) -> void;
    auto decideAnswerLoss() -> bool;
    auto read(const poplarpass::net::http_request &request, const responder_ptr &responder) -> void;
    auto waitForRecords(offset from, std::uint64_t max, std::chrono::milliseconds wait, const responder_ptr &responder)
        -> void;
    auto completeWaitingReads() -> void;
    auto respondWithPage(offset from, std::uint64_t max, const responder_ptr &responder) -> void;
    auto failWaitingReads() -> void;

    std::deque<poplarpass::platform::log_entry> m_entries;
    offset m_firstOffset = 1;
    offset m_nextOffset = 1;
    std::list<waiting_read> m_waitingReads;
    log_faults m_faults;
    log_stats m_stats;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_nextAppend;
    std::int64_t m_currentSecond = 0;
    std::uint64_t m_appendsThisSecond = 0;
    timers m_timers;
    poplarpass::net::http_server m_server;
};
} // namespace standins
