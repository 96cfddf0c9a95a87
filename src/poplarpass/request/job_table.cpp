#include <poplarpass/core/invariant.h>
#include <poplarpass/request/constants.h>
#include <poplarpass/request/job_table.h>

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace poplarpass::request
{
namespace
{
// Node sizes of the map and of the expiry index in the standard library, with allocator rounding.
constexpr std::size_t mapNodeOverhead = 2 * sizeof(void *) + 16;
constexpr std::size_t expiryNodeBytes = 4 * sizeof(void *) + sizeof(core::wall_time) + sizeof(packed_key) + 16;

// Shared by all answers whose text was evicted, and therefore counted as zero bytes.
auto evictedAnswer() -> const shared_answer &
{
    static const shared_answer answer = std::make_shared<const job_answer>(
        core::failure(core::error_kind::outcome_unknown, "it was answered, and the answer is no longer kept"));
    return answer;
}

auto bytesOf(const shared_answer &answer) -> std::size_t
{
    if (!answer || answer == evictedAnswer()) {
        return 0;
    }
    return *answer ? (*answer)->size() : answer->error().detail.size();
}

auto isUnknown(const job_answer &answer) -> bool
{
    return runStateOf(answer) == core::run_state::unknown;
}

auto evidenceOf(const packed_key &key, std::string_view what) -> std::string
{
    return "key=" + unpackKey(key).str() + " " + std::string{what};
}
} // namespace

job_table::job_table()
    : job_table{job_table_limits{maxRememberedKeys, request::maxAnswerBytes}}
{
}

job_table::job_table(job_table_limits limits)
    : m_limits{limits}
    , m_members{member_ref{}}
{
}

auto job_table::find(const packed_key &key) -> job_record *
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

auto job_table::insert(const packed_key &key, std::uint64_t digest) -> job_record *
{
    assert(!m_records.contains(key));
    if (m_records.size() >= m_limits.maxKeys) {
        return nullptr;
    }
    auto &record = m_records[key];
    record.digest = digest;
    record.minted = mintTimeOf(key);
    m_expiry.emplace(record.minted + keyRetention, key);
    return &record;
}

// A key is evicted only when it is old enough to be refused by every entry; earlier eviction would let a repeat run.
auto job_table::expire(core::wall_time wall) -> void
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= wall) {
        const auto key = m_expiry.begin()->second;
        m_expiry.erase(m_expiry.begin());
        const auto found = m_records.find(key);
        if (found == m_records.end()) {
            continue;
        }
        if (!mayEvict(found->second)) {
            m_expiry.emplace(wall + answerRetention, key);
            continue;
        }
        m_answerBytes -= bytesOf(found->second.answer);
        m_records.erase(found);
    }
}

auto job_table::openAttempt(const packed_key &key, job_record &record) -> void
{
    core::requireInvariant(record.state == key_state::in_progress && !record.attemptOpen && !record.promised,
                           core::invariant_kind::at_most_once,
                           [&key] { return evidenceOf(key, "attempt without the right to the key, or a second one"); });
    record.attemptOpen = true;
}

auto job_table::closeAttempt(job_record &record) -> void
{
    record.attemptOpen = false;
}

auto job_table::finish(const packed_key &key, job_record &record, shared_answer answer) -> bool
{
    if (record.answer && !isUnknown(*record.answer)) {
        return false;
    }
    const bool isNotRun = runStateOf(*answer) == core::run_state::not_run;
    core::requireInvariant(!isNotRun || !record.attemptOpen, core::invariant_kind::not_run_is_true, [&key] {
        return evidenceOf(key, "answered as not run although an attempt may have started");
    });
    m_answerBytes -= bytesOf(record.answer);
    record.state = key_state::answered;
    record.answer = std::move(answer);
    record.stopping = false;
    storeAnswer(key, record.answer);
    return true;
}

auto job_table::cancel(const packed_key &key, job_record &record) -> cancel_result
{
    if (record.state == key_state::answered) {
        return cancel_result::already_answered;
    }
    if (record.state != key_state::in_progress) {
        return cancel_result::not_held;
    }
    if (record.attemptOpen) {
        record.stopping = true;
        return cancel_result::stop_worker;
    }
    finish(
        key, record,
        std::make_shared<const job_answer>(core::failure(core::error_kind::cancelled, "cancelled before its start")));
    return cancel_result::cancelled;
}

auto job_table::indexOf(const member_ref &member) -> std::uint16_t
{
    const auto found = std::ranges::find(m_members, member);
    if (found != m_members.end()) {
        return static_cast<std::uint16_t>(found - m_members.begin());
    }
    m_members.push_back(member);
    return static_cast<std::uint16_t>(m_members.size() - 1);
}

auto job_table::memberAt(std::uint16_t index) const -> const member_ref &
{
    return m_members[index];
}

auto job_table::size() const -> std::size_t
{
    return m_records.size();
}

auto job_table::answerBytes() const -> std::size_t
{
    return m_answerBytes;
}

auto job_table::bytesPerKey() -> std::size_t
{
    return sizeof(packed_key) + sizeof(job_record) + mapNodeOverhead + sizeof(void *) + expiryNodeBytes;
}

auto job_table::forEach(const std::function<void(const packed_key &, job_record &)> &visit) -> void
{
    for (auto &[key, record] : m_records) {
        visit(key, record);
    }
}

auto job_table::storeAnswer(const packed_key &key, const shared_answer &answer) -> void
{
    m_answerBytes += bytesOf(answer);
    m_answered.push_back(key);
    if (m_answerBytes > m_limits.maxAnswerBytes) {
        evictOldestAnswers();
    }
}

// The record stays, so that the job cannot run again; only the text of its answer is evicted.
auto job_table::evictOldestAnswers() -> void
{
    while (m_answerBytes > m_limits.maxAnswerBytes && !m_answered.empty()) {
        auto *record = find(m_answered.front());
        m_answered.pop_front();
        if (record != nullptr && record->answer) {
            m_answerBytes -= bytesOf(record->answer);
            record->answer = evictedAnswer();
        }
    }
}

auto job_table::mayEvict(const job_record &record) -> bool
{
    return record.state != key_state::in_progress && !record.inFlight;
}
} // namespace poplarpass::request
