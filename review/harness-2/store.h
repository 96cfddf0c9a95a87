#pragma once

#include "http.h"

#include <condition_variable>
#include <deque>
#include <functional>

/// Stand-in for the platform's metadata store, in the form of a log.
namespace harness
{
struct log_record
{
    std::string key; ///< Only in keyed topics.
    std::string value;
    std::uint64_t offset = 0;
};

/// One append, as the store has just carried it out; its answer is not sent yet.
struct append_event
{
    std::size_t door = 0; ///< Of the machine that called.
    std::string topic;
    std::uint64_t epoch = 0; ///< 0 without a producer.
    std::vector<log_record> records;
};

class store
{
public:
    store() = default;
    ~store();
    store(const store &) = delete;
    store &operator=(const store &) = delete;

    /// Adds an address of its own for one machine, by which the store can turn it away. Returns its number.
    std::size_t addDoor(const std::string &ip);

    std::string address(std::size_t door) const
    {
        return m_doors[door]->server->address();
    }

    /// From now on the store leaves calls of this machine unanswered and does not carry them out, or serves it again.
    void setSilent(std::size_t door, bool silent);

    /// Writes a record as the operator or a worker does.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// Returns the newest value of a key; empty if there is none.
    std::string newest(const std::string &topic, const std::string &key);

    /// Returns the keys of a topic.
    std::vector<std::string> keys(const std::string &topic);

    /// Called in the thread of the call, after the append and before its answer.
    std::function<void(const append_event &)> onAppended;

private:
    struct writer
    {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        bool any = false;
        std::deque<std::pair<std::uint64_t, std::string>> recent; ///< Answers by sequence number.
    };
    struct topic_state
    {
        bool keyed = false;
        std::vector<log_record> records;
        std::map<std::string, log_record> newest;
        std::map<std::string, writer> writers;
    };

    struct door
    {
        bool silent = false;
        std::unique_ptr<http_server> server;
    };

    std::optional<http_response> handle(std::size_t number, const http_request &request);
    /// Waits until the machine is served; returns whether it is before the store ends.
    bool awaitService(std::size_t number);
    http_response append(std::size_t number, const http_request &request);
    http_response read(const http_request &request);
    http_response listNewest(const http_request &request);
    topic_state &topicOf(const std::string &name);
    void add(topic_state &topic, log_record record);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_ending = false;
    std::map<std::string, topic_state> m_topics;
    std::vector<std::unique_ptr<door>> m_doors;
};
} // namespace harness
