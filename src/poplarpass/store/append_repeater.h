#pragma once

#include <poplarpass/core/lifetime.h>
#include <poplarpass/core/time_source.h>
#include <poplarpass/store/append_latency.h>
#include <poplarpass/store/record_store.h>

#include <functional>
#include <memory>

namespace poplarpass::store
{
/// \brief Repeats fenced appends whose answer is overdue, while earlier copies may still be answered.
///
/// When several copies in a row stay unanswered, the caller is told that the outcome is unknown; it may append again.
/// The store carries out an append of one epoch and sequence number once and answers its repeats alike. Appends without
/// a fence are passed on unchanged.
class append_repeater
{
public:
    /// \param onRepeat called with the topic and number of each copy after the first; may be empty
    append_repeater(const record_store &inner, const core::time_source &time,
                    std::function<void(topic, unsigned)> onRepeat);

    /// \brief Returns the operations of the store, with repeated appends; valid while this object exists.
    [[nodiscard]] auto calls() -> record_store;

private:
    /// \brief A fenced append that is not finished.
    struct pending_append
    {
        record_append request;
        std::function<void(append_result)> done; ///< Empty once it was called.
        unsigned copies = 0; ///< Copies sent.
        unsigned unanswered = 0; ///< Copies that have not ended.
        bool isUncertain = false; ///< Whether a copy ended without an answer, so that it may be carried out.
    };

    auto append(record_append request, std::function<void(append_result)> done) -> void;
    auto sendCopy(const std::shared_ptr<pending_append> &pending) -> void;
    auto onOverdue(const std::shared_ptr<pending_append> &pending) -> void;
    auto onAnswer(pending_append &pending, const append_result &answer, core::monotonic_time sentAt) -> void;

    const record_store &m_inner;
    const core::time_source &m_time;
    std::function<void(topic, unsigned)> m_onRepeat;
    append_latency m_latency;
    core::lifetime m_lifetime;
};
} // namespace poplarpass::store
