#pragma once

#include "deployment.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tests
{
/// \brief Outcome of one call.
struct call_record
{
    std::string key;
    std::string entry;
    int status = 0; ///< HTTP status; 0 if the connection broke before a complete response.
    std::string error; ///< Error kind; empty if finished.
    std::string detail; ///< Error details.
    std::string ran; ///< Reported run state, e.g. "not_run" or "unknown".
    std::string output;
};

/// \brief Sends non-idempotent jobs until stopped, often with the same key to two entries.
class load_generator
{
public:
    /// \param callers number of caller threads
    load_generator(deployment &fleet, int callers, int runTimeMs);
    ~load_generator();

    /// \brief Stops sending, waits for outstanding calls and returns the outcomes of all.
    auto finish() -> std::vector<call_record>;

    /// \brief Returns the number of calls completed so far.
    auto count() -> std::size_t;

private:
    auto sendLoop(std::uint64_t seed) -> void;
    auto sendOne(const std::string &entry, const std::string &address, const std::string &key) -> void;

    deployment &m_fleet;
    std::vector<std::string> m_addresses;
    int m_runTimeMs;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<call_record> m_records;
    std::vector<std::thread> m_threads;
};

/// \brief Result of comparing the callers' outcomes with the workers' journal.
struct check_result
{
    int answered = 0; ///< Complete responses.
    int finished = 0; ///< Responses with status 200.
    int notRun = 0; ///< Responses with "not_run".
    int unknown = 0; ///< Responses with "unknown".
    int unanswered = 0; ///< Calls without a complete response.
    std::vector<std::string> refusals; ///< Entry, key, error and detail of each "not_run" response.
    std::vector<std::string> violations; ///< Description of each violated guarantee.
};

/// \brief Compares the callers' outcomes with the workers' \p journal.
auto checkRecords(const std::vector<call_record> &records, const nlohmann::json &journal) -> check_result;
} // namespace tests
