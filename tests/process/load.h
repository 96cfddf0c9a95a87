#pragma once

#include "deployment.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace tests
{
/// \brief One answer that a caller got.
struct told
{
    std::string key;
    std::string entry;
    int status = 0; ///< 0 when the connection broke before a whole answer.
    std::string error; ///< Error kind, empty when finished.
    std::string detail; ///< Evidence given with the error.
    std::string ran; ///< What the caller was told about the run.
    std::string output;
};

/// \brief Callers that send non-idempotent jobs, often the same key at several entries, until stopped.
class load
{
public:
    /// \param callers threads
    load(deployment &fleet, int callers, int runTimeMs);
    ~load();

    /// \brief Stops sending, waits for the answers under way, and returns all of them.
    auto finish() -> std::vector<told>;

    /// \brief Answers so far.
    auto count() -> std::size_t;

private:
    auto sendLoop(std::uint64_t seed) -> void;
    auto sendOne(const std::string &entry, const std::string &address, const std::string &key) -> void;

    deployment &m_fleet;
    std::vector<std::string> m_addresses;
    int m_runTimeMs;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex;
    std::vector<told> m_told;
    std::vector<std::thread> m_threads;
};

/// \brief Result of comparing what callers were told with what workers saw.
struct verdict
{
    int answered = 0; ///< Whole answers.
    int finished = 0; ///< Answers with an output.
    int notRun = 0; ///< Answers that said "not run".
    int unknown = 0; ///< Answers that said "unknown".
    int broken = 0; ///< Connections that broke before an answer.
    std::vector<std::string> refusals; ///< Every answer that said "not run": entry, error and detail.
    std::vector<std::string> violations; ///< Every promise that was broken, in words.
};

/// \brief Compares what callers were told with the workers' \p journal.
auto check(const std::vector<told> &all, const nlohmann::json &journal) -> verdict;
} // namespace tests
