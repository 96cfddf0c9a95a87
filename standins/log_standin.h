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
/// \brief Faults of the log stand-in, set by `POST /fault`.
struct log_faults
{
    bool outage = false; ///< Every append and read is answered with 503 and has no effect.
    std::int64_t slowMs = 0; ///< Delay of every append and read before its effect.
    double loseAnswerRate = 0; ///< Share of appends whose answer is lost after the effect.
    std::int64_t loseNext = 0; ///< Number of the next appends whose answer is lost after the effect.
    std::int64_t appendsPerSecond = 0; ///< Appends beyond this rate wait; 0 is no limit.
    std::uint64_t retainRecords = 0; ///< Older records are trimmed; 0 keeps all.
};

/// \brief Figures of the log stand-in, read by `GET /stats`.
struct log_stats
{
    std::uint64_t appends = 0; ///< Records appended.
    std::uint64_t reads = 0; ///< Reads answered.
    std::uint64_t bytes = 0; ///< Payload bytes appended.
    std::uint64_t lostAnswers = 0; ///< Appends whose answer was lost.
    std::uint64_t appendsPerSecondPeak = 0; ///< Most appends within one second of the clock.
};

/// \brief Append-only log in memory, with offsets, long polls, trimming and faults.
class log_standin
{
public:
    /// \param address "IP:port" to listen on
    log_standin(boost::asio::io_context &loop, std::string_view address, std::uint64_t seed);

    /// \brief "IP:port" that it listens on.
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Replaces the faults; waiting reads fail when an outage begins.
    auto setFaults(const log_faults &faults) -> void;

    /// \brief Faults in force.
    [[nodiscard]] auto faults() const -> const log_faults &;

    /// \brief Drops the records before \p offset.
    auto trim(poplarpass::platform::log_offset offset) -> void;

    /// \brief Figures so far.
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
