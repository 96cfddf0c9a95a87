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
/// \brief What is wrong with the store at present.
struct store_faults
{
    bool down = false; ///< It serves nobody.
    std::set<std::string> refusedHosts; ///< Hosts that it does not serve.
    std::set<std::string> cutHosts; ///< Hosts that do not reach it.
    core::duration slow{0}; ///< Added to each call.
    double lostAnswers = 0; ///< Share of calls that are carried out and not answered.
    double lateAppends = 0; ///< Share of appends that are carried out seconds later and not answered.
};

/// \brief The platform's store as all hosts see it: conditions, fences, history that expires, keyed topics.
class sim_store
{
public:
    explicit sim_store(sim_network &network);

    /// \brief Calls for one process.
    auto callsFor(const process_port &port) -> store::record_store;

    /// \brief A worker or the operator writes a record; without a value it is dropped.
    auto put(store::topic topic, const std::string &key, const std::string &value) -> void;

    /// \brief All records that are kept only for a time are forgotten.
    auto forgetHistory() -> void;

    /// \brief Newest value of \p key, if there is one.
    [[nodiscard]] auto newestOf(store::topic topic, const std::string &key) const -> std::optional<std::string>;

    /// \brief Whether the store serves \p host.
    [[nodiscard]] auto serves(const std::string &host) const -> bool;

    store_faults faults; ///< What is wrong.
    std::function<void(store::topic, const store::stored_record &)> onRecord; ///< Told of each record.

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
        bool open = true;
        std::function<void(store::read_result)> answer;
    };

    struct topic_state
    {
        std::uint64_t first = 0;
        std::vector<store::stored_record> records;
        std::map<std::string, store::stored_record> newest;
        writer known;
        std::list<std::shared_ptr<waiting_read>> waiting;

        [[nodiscard]] auto end() const -> std::uint64_t
        {
            return first + records.size();
        }
    };

    auto fateOf(const std::string &host, bool append) -> call_fate;
    auto carryOut(const store::record_append &request) -> store::append_result;
    auto add(store::topic topic, const std::string &key, const std::string &value) -> void;
    auto readNow(const topic_state &state, std::uint64_t from) const -> store::read_result;
    auto read(store::topic topic, std::uint64_t from, std::chrono::milliseconds wait,
              std::function<void(store::read_result)> answer) -> void;
    auto wake(topic_state &state) -> void;

    sim_network &m_network;
    std::map<store::topic, topic_state> m_topics;
};
} // namespace tests::system_sim
