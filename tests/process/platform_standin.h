#pragma once

#include <poplarpass/net/http_server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace tests
{
/// \brief Stand-in for the users' platform: its store in the form of a log, and a host service without machines.
///
/// It runs on a thread of its own. Records are set before start().
class platform_standin
{
public:
    platform_standin();
    ~platform_standin();
    platform_standin(const platform_standin &) = delete;
    auto operator=(const platform_standin &) -> platform_standin & = delete;

    /// \brief Returns the "IP:port" of the store and of the host service.
    [[nodiscard]] auto address() const -> std::string;

    /// \brief Writes a record as the operator does; only before start().
    auto put(const std::string &topic, const std::string &key, const std::string &value) -> void;

    /// \brief Starts to answer.
    auto start() -> void;

private:
    using request = poplarpass::net::http_request;
    using response = poplarpass::net::http_response;
    using responder_ptr = std::shared_ptr<poplarpass::net::responder>;

    struct log_record
    {
        std::string key;
        std::string value;
        std::uint64_t offset = 0;
    };
    struct writer
    {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        bool isKnown = false;
        std::deque<std::pair<std::uint64_t, std::string>> recentAnswers; ///< By sequence number.
    };
    struct topic_state
    {
        bool isKeyed = false;
        std::vector<log_record> records;
        std::map<std::string, log_record> newest;
        std::map<std::string, writer> writers;
    };
    struct waiting_read
    {
        std::string topic;
        std::uint64_t from = 0;
        responder_ptr caller;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    auto handle(const request &call, const responder_ptr &caller) -> void;
    auto append(const request &call) -> response;
    auto appendRecords(topic_state &topic, std::string_view body) -> response;
    auto add(topic_state &topic, log_record record) -> void;
    auto read(const request &call, const responder_ptr &caller) -> void;
    auto answerRead(const waiting_read &waiting) -> void;
    auto completeWaitingReads() -> void;
    auto listNewest(const request &call) -> response;
    auto topicOf(const std::string &name) -> topic_state &;

    boost::asio::io_context m_loop{1};
    std::map<std::string, topic_state> m_topics;
    std::list<waiting_read> m_waitingReads;
    std::unique_ptr<poplarpass::net::http_server> m_server;
    std::thread m_thread;
};
} // namespace tests
