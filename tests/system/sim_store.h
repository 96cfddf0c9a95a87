#pragma once

#include "sim_network.h"

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tests::system_sim
{
/// \brief Injected faults of the store.
struct store_faults
{
    bool down = false; ///< No host is served.
    std::set<std::string> refusedHosts; ///< Hosts whose calls are not served.
    std::set<std::string> unreachableHosts; ///< Hosts that are cut off from the store.
    core::duration addedLatency{0}; ///< Added latency of each call.
    double lostAnswers = 0; ///< Share of calls that are executed but not answered.
    double lateAppends = 0; ///< Share of appends that are executed up to 5 s later and not answered.
};

/// \brief The platform's store: conditional appends, fencing, expiring history and keyed topics.
class sim_store
{
public:
    explicit sim_store(sim_network &network);

    /// \brief Returns the store calls of one process.
    auto callsFor(const process_port &port) -> store::record_store;

    /// \brief Writes a record of a worker or the operator; an empty \p value deletes the key.
    auto put(store::topic topic, const std::string &key, const std::string &value) -> void;

    /// \brief Expires the history of all topics; the newest values by key stay.
    auto expireHistory() -> void;

    /// \brief Returns the newest value of \p key, if there is one.
    [[nodiscard]] auto newestOf(store::topic topic, const std::string &key) const -> std::optional<std::string>;

    /// \brief Whether the store serves \p host.
    [[nodiscard]] auto serves(const std::string &host) const -> bool;

    store_faults faults; ///< Injected faults.
    std::function<void(store::topic, const store::stored_record &)> onRecord; ///< Called for each new record.

private:
    struct writer
    {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        std::map<std::uint64_t, store::append_result> recent;
    };

    struct waiting_read
    {
        std::uint64_t from = 0;
        bool pending = true;
        std::function<void(store::read_result)> answer;
    };

    struct topic_state
    {
        std::uint64_t first = 0;
        std::vector<store::stored_record> records;
        std::map<std::string, store::stored_record> newest;
        writer lastWriter;
        std::list<std::shared_ptr<waiting_read>> waiting;

        [[nodiscard]] auto end() const -> std::uint64_t
        {
            return first + records.size();
        }
    };

    auto deliveryOf(const std::string &host, bool append) -> call_delivery;
    auto execute(const store::record_append &request) -> store::append_result;
    auto add(store::topic topic, const std::string &key, const std::string &value) -> void;
    auto readNow(const topic_state &state, std::uint64_t from) const -> store::read_result;
    auto read(store::topic topic, std::uint64_t from, std::chrono::milliseconds wait,
              std::function<void(store::read_result)> answer) -> void;
    auto answerWaitingReads(topic_state &state) -> void;

    sim_network &m_network;
    std::map<store::topic, topic_state> m_topics;
};
} // namespace tests::system_sim
