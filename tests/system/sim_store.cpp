#include "sim_store.h"

namespace tests::system_sim
{
namespace
{
constexpr core::duration appendTimeout = std::chrono::milliseconds{1500};
constexpr core::duration readTimeout = std::chrono::milliseconds{900};
constexpr std::size_t maxRecentAppends = 5;
} // namespace

sim_store::sim_store(sim_network &network)
    : m_network{network}
{
}

auto sim_store::serves(const std::string &host) const -> bool
{
    return !faults.down && !faults.refusedHosts.contains(host) && !faults.unreachableHosts.contains(host);
}

auto sim_store::deliveryOf(const std::string &host, bool append) -> call_delivery
{
    call_delivery delivery;
    delivery.arrives = serves(host);
    delivery.addedLatency = faults.addedLatency;
    delivery.answered = !m_network.randomBool(faults.lostAnswers);
    if (append && delivery.arrives && m_network.randomBool(faults.lateAppends)) {
        delivery.answered = false;
        delivery.executionDelay = m_network.randomDuration(300, 5000);
    }
    return delivery;
}

// If a host is not served, half of its appends are refused at once; the other half and its reads time out.
auto sim_store::callsFor(const process_port &port) -> store::record_store
{
    store::record_store calls;
    calls.append = [this, port](const store::record_append &request, std::function<void(store::append_result)> done) {
        const auto delivery = deliveryOf(port.name, true);
        const bool refused =
            !delivery.arrives && !faults.unreachableHosts.contains(port.name) && m_network.randomBool(0.5);
        const store::append_result timeoutAnswer{
            refused ? store::append_outcome::refused : store::append_outcome::unknown, 0, 0};
        m_network.call<store::append_result>(
            port, delivery, refused ? m_network.randomDuration(2, 10) : appendTimeout, timeoutAnswer,
            [this, request](const std::function<void(store::append_result)> &answer) { answer(execute(request)); },
            std::move(done));
    };
    calls.read = [this, port](store::topic topic, std::uint64_t from, std::chrono::milliseconds wait,
                              std::function<void(store::read_result)> done) {
        m_network.call<store::read_result>(
            port, deliveryOf(port.name, false), readTimeout + wait, store::read_result{},
            [this, topic, from, wait](std::function<void(store::read_result)> answer) {
                read(topic, from, wait, std::move(answer));
            },
            std::move(done));
    };
    calls.newest = [this, port](store::topic topic, std::function<void(store::newest_result)> done) {
        m_network.call<store::newest_result>(
            port, deliveryOf(port.name, false), readTimeout, store::newest_result{},
            [this, topic](const std::function<void(store::newest_result)> &answer) {
                store::newest_result result;
                result.complete = true;
                result.endOffset = m_topics[topic].end();
                for (const auto &[key, record] : m_topics[topic].newest) {
                    result.records.push_back(record);
                }
                answer(std::move(result));
            },
            std::move(done));
    };
    return calls;
}

auto sim_store::put(store::topic topic, const std::string &key, const std::string &value) -> void
{
    add(topic, key, value);
    answerWaitingReads(m_topics[topic]);
}

auto sim_store::newestOf(store::topic topic, const std::string &key) const -> std::optional<std::string>
{
    const auto state = m_topics.find(topic);
    if (state == m_topics.end() || !state->second.newest.contains(key)) {
        return std::nullopt;
    }
    return state->second.newest.at(key).value;
}

auto sim_store::add(store::topic topic, const std::string &key, const std::string &value) -> void
{
    auto &state = m_topics[topic];
    const store::stored_record record{state.end(), key, value};
    state.records.push_back(record);
    if (value.empty()) {
        state.newest.erase(key);
    } else if (!key.empty()) {
        state.newest[key] = record;
    }
    if (onRecord) {
        onRecord(topic, record);
    }
}

auto sim_store::expireHistory() -> void
{
    for (auto &[topic, state] : m_topics) {
        state.first = state.end();
        state.records.clear();
    }
}

auto sim_store::execute(const store::record_append &request) -> store::append_result
{
    auto &state = m_topics[request.to];
    auto &lastWriter = state.lastWriter;
    if (request.fence) {
        const auto &fence = *request.fence;
        if (fence.epoch < lastWriter.epoch) {
            return {store::append_outcome::fenced, 0, 0};
        }
        if (fence.epoch > lastWriter.epoch) {
            lastWriter = {fence.epoch, fence.sequence, {}};
        }
        if (const auto repeated = lastWriter.recent.find(fence.sequence); repeated != lastWriter.recent.end()) {
            return repeated->second;
        }
        if (fence.sequence != lastWriter.next) {
            return {store::append_outcome::out_of_sequence, 0, 0};
        }
    }
    if (request.expectedEnd && *request.expectedEnd != state.end()) {
        return {store::append_outcome::conflict, 0, state.end()};
    }
    const auto offset = state.end();
    for (const auto &value : request.records) {
        add(request.to, {}, value);
    }
    for (const auto &record : request.keyedRecords) {
        add(request.to, record.key, record.value);
    }
    const store::append_result result{store::append_outcome::appended, offset, state.end()};
    if (request.fence) {
        ++lastWriter.next;
        lastWriter.recent[request.fence->sequence] = result;
        if (lastWriter.recent.size() > maxRecentAppends) {
            lastWriter.recent.erase(lastWriter.recent.begin());
        }
    }
    answerWaitingReads(state);
    return result;
}

auto sim_store::readNow(const topic_state &state, std::uint64_t from) const -> store::read_result
{
    store::read_result result;
    result.outcome = from < state.first ? store::read_outcome::expired : store::read_outcome::read;
    result.endOffset = state.end();
    result.firstOffset = state.first;
    for (auto offset = from; offset >= state.first && offset < state.end(); ++offset) {
        result.records.push_back(state.records[offset - state.first]);
    }
    return result;
}

auto sim_store::read(store::topic topic, std::uint64_t from, std::chrono::milliseconds wait,
                     std::function<void(store::read_result)> answer) -> void
{
    auto &state = m_topics[topic];
    if (from != state.end() || wait.count() == 0) {
        answer(readNow(state, from));
        return;
    }
    auto waiting = std::make_shared<waiting_read>(waiting_read{from, true, std::move(answer)});
    state.waiting.push_back(waiting);
    m_network.time.after(wait, [this, topic, waiting] {
        if (std::exchange(waiting->pending, false)) {
            m_topics[topic].waiting.remove(waiting);
            waiting->answer(readNow(m_topics[topic], waiting->from));
        }
    });
}

auto sim_store::answerWaitingReads(topic_state &state) -> void
{
    for (const auto &waiting : std::exchange(state.waiting, {})) {
        if (std::exchange(waiting->pending, false)) {
            waiting->answer(readNow(state, waiting->from));
        }
    }
}
} // namespace tests::system_sim
