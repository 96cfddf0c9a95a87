#include <poplarpass/store/append_repeater.h>

#include <utility>

namespace poplarpass::store
{
namespace
{
/// \brief Copies of an append that are sent before its caller decides how to go on.
constexpr unsigned maxCopies = 5;

/// \brief Returns whether \p outcome says whether the records are stored.
auto isDefinite(append_outcome outcome) -> bool
{
    return outcome != append_outcome::refused && outcome != append_outcome::unknown;
}
} // namespace

append_repeater::append_repeater(const record_store &inner, const core::time_source &time,
                                 std::function<void(topic, unsigned)> onRepeat)
    : m_inner{inner}
    , m_time{time}
    , m_onRepeat{std::move(onRepeat)}
{
}

auto append_repeater::calls() -> record_store
{
    auto calls = m_inner;
    calls.append = [this](record_append request, std::function<void(append_result)> done) {
        append(std::move(request), std::move(done));
    };
    return calls;
}

auto append_repeater::append(record_append request, std::function<void(append_result)> done) -> void
{
    if (!request.fence) {
        m_inner.append(std::move(request), std::move(done));
        return;
    }
    sendCopy(std::make_shared<pending_append>(pending_append{std::move(request), std::move(done)}));
}

auto append_repeater::sendCopy(const std::shared_ptr<pending_append> &pending) -> void
{
    ++pending->copies;
    ++pending->unanswered;
    m_time.callAfter(m_latency.repeatDelay(pending->copies), m_lifetime.guard([this, pending] { onOverdue(pending); }));
    if (pending->copies > 1 && m_onRepeat) {
        m_onRepeat(pending->request.to, pending->copies);
    }
    m_inner.append(pending->request,
                   m_lifetime.guard([this, pending, sentAt = m_time.now()](const append_result &answer) {
                       onAnswer(*pending, answer, sentAt);
                   }));
}

auto append_repeater::onOverdue(const std::shared_ptr<pending_append> &pending) -> void
{
    if (!pending->done) {
        return;
    }
    if (pending->copies < maxCopies) {
        sendCopy(pending);
    } else {
        std::exchange(pending->done, nullptr)({append_outcome::unknown, 0, 0});
    }
}

// Only a copy's own latency is recorded, so lost answers do not make the store look slow.
auto append_repeater::onAnswer(pending_append &pending, const append_result &answer, core::monotonic_time sentAt)
    -> void
{
    --pending.unanswered;
    pending.isUncertain |= answer.outcome == append_outcome::unknown;
    if (isDefinite(answer.outcome)) {
        m_latency.record(m_time.now() - sentAt);
    }
    if (!pending.done || (!isDefinite(answer.outcome) && pending.unanswered > 0)) {
        return;
    }
    auto result = answer;
    if (answer.outcome == append_outcome::refused && pending.isUncertain) {
        result.outcome = append_outcome::unknown;
    }
    std::exchange(pending.done, nullptr)(result);
}
} // namespace poplarpass::store
