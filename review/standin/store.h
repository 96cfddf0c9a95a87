// Stand-in of the platform's store: a log with topics, conditions, producers' epochs and keyed topics.
#pragma once

#include "http.h"

#include <deque>
#include <optional>

namespace review
{
/// Limits from the settings that the pages show.
struct StoreLimits
{
    std::size_t recordBytes = 262144;
    std::size_t callBytes = 2097152;
    std::int64_t answerMs = 4;
};

class Store
{
public:
    explicit Store(StoreLimits limits);

    std::string address() const;

    /// Writes a record as the operator or a worker does, without a condition. An empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /// Sets the time of each answer from now on, milliseconds.
    void setAnswerMs(std::int64_t ms);

    /// Called with each append that the store rejects because a record or the call is too large.
    std::function<void(const std::string &)> onTooLarge;

private:
    struct Producer
    {
        std::int64_t epoch = -1;
        std::int64_t next = -1; ///< Expected sequence number; -1: any.
        std::deque<std::pair<std::int64_t, Response>> answers;
    };

    struct Newest
    {
        std::string value;
        std::size_t offset = 0;
    };

    struct Topic
    {
        std::vector<std::string> records; ///< Content of each record, without its length.
        std::map<std::string, Newest> newest;
        std::map<std::string, Producer> producers;
    };

    Response handle(const Request &request);
    Response append(const Request &request);
    Response applyAppend(const Request &request);
    Response read(const Request &request);
    Response newest(const Request &request);
    void add(const std::string &name, Topic &topic, std::string content);

    StoreLimits m_limits;
    std::atomic<std::int64_t> m_answerMs;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Topic> m_topics;
    Server m_server;
};
} // namespace review
