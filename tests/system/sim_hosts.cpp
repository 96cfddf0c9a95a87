#include "sim_hosts.h"

#include <poplarpass/host/caller_request.h>

#include <cstdlib>
#include <iostream>

namespace tests::system_sim
{
namespace
{
constexpr std::string_view eventKey = "event=";
constexpr std::int64_t contactMs = 3000;
constexpr core::duration callerTimeout = std::chrono::milliseconds{3000};
constexpr core::duration handTimeout = std::chrono::milliseconds{1200};
constexpr core::duration announcementTimeout = std::chrono::milliseconds{600};
constexpr owner::host_size largeHost{1, 1000};
constexpr core::duration holderTerm = std::chrono::seconds{3};
constexpr core::duration stopTime = std::chrono::milliseconds{5300};
} // namespace

sim_hosts::sim_hosts(sim_network &network, sim_store &store, sim_fleet &fleet)
    : m_network{network}
    , m_store{store}
    , m_fleet{fleet}
{
}

auto sim_hosts::all() -> std::vector<std::unique_ptr<sim_host>> &
{
    return m_hosts;
}

auto sim_hosts::find(const std::string &address) -> sim_host *
{
    for (const auto &one : m_hosts) {
        if (one->address == address) {
            return one.get();
        }
    }
    return nullptr;
}

auto sim_hosts::add(const std::string &name) -> void
{
    m_hosts.push_back(std::make_unique<sim_host>());
    auto &one = *m_hosts.back();
    one.name = name;
    one.address = "10.1.0." + std::to_string(m_hosts.size()) + ":1";
    one.troubledAt = -contactMs;
    start(one);
}

auto sim_hosts::deliver(sim_host &one, std::uint64_t incarnation, const std::function<void()> &action) -> void
{
    if (!one.up || one.incarnation != incarnation) {
        return;
    }
    const auto now = m_network.nowMs();
    if (now < one.frozenUntil) {
        m_network.time.after(std::chrono::milliseconds{one.frozenUntil - now},
                             [this, &one, incarnation, action] { deliver(one, incarnation, action); });
        return;
    }
    action();
}

auto sim_hosts::portOf(sim_host &one) -> process_port
{
    return {one.name, [this, &one, incarnation = one.incarnation](const std::function<void()> &action) {
                deliver(one, incarnation, action);
            }};
}

auto sim_hosts::makeTime(sim_host &one) -> core::time_source
{
    auto made = m_network.time.source();
    made.callAfter = [this, &one, incarnation = one.incarnation](core::duration delay,
                                                                 const std::function<void()> &action) {
        m_network.time.after(delay, [this, &one, incarnation, action] { deliver(one, incarnation, action); });
    };
    return made;
}

// The hosts' logs are printed if POPLARPASS_SIM_LOG is set.
auto sim_hosts::makeLog(sim_host &one) -> std::unique_ptr<poplarpass::observe::logger>
{
    poplarpass::observe::logger_options options;
    options.processName = one.name;
    options.burst = 100'000;
    options.now = [this] {
        return m_network.time.wallNow();
    };
    const bool prints = std::getenv("POPLARPASS_SIM_LOG") != nullptr;
    options.sink = [this, prints](poplarpass::observe::log_level, std::string_view line) {
        const auto begin = line.find(eventKey);
        if (begin != std::string_view::npos) {
            const auto name = line.substr(begin + eventKey.size());
            const auto event = name.substr(0, name.find(' '));
            eventNames.emplace(event);
            takeovers += event == "owner_elected" ? 1 : 0;
        }
        if (prints) {
            std::cout << m_network.nowMs() << ' ' << line << '\n';
        }
    };
    return std::make_unique<poplarpass::observe::logger>(std::move(options));
}

auto sim_hosts::peerFate(const sim_host &from, const std::string &address) -> call_fate
{
    const auto *to = find(address);
    call_fate fate;
    fate.arrives = to != nullptr && to->up && !from.cutFromHosts.contains(to->name);
    fate.answered = to != nullptr && !to->cutFromHosts.contains(from.name);
    return fate;
}

auto sim_hosts::makePeers(sim_host &one) -> host::peer_calls
{
    host::peer_calls calls;
    calls.hand = [this, &one, port = portOf(one)](const std::string &address, const host::client_request &request,
                                                  std::function<void(host::peer_answer)> done) {
        const auto fate = peerFate(one, address);
        auto *to = find(address);
        const bool refused = to != nullptr && !to->up;
        m_network.call<host::peer_answer>(
            port, fate, refused ? m_network.pickTime(1, 5) : handTimeout, {std::nullopt, !refused},
            [this, to, incarnation = to == nullptr ? 0 : to->incarnation,
             request](std::function<void(host::peer_answer)> answer) {
                deliver(*to, incarnation, [to, request, answer = std::move(answer)] {
                    to->core->takeHanded(request, [answer](net::http_response response) {
                        answer({std::move(response), true});
                    });
                });
            },
            std::move(done));
    };
    calls.announce = [this, &one, port = portOf(one)](const std::string &address, const owner::owner_record &record,
                                                      std::function<void(bool)> done) {
        auto *to = find(address);
        m_network.call<bool>(
            port, peerFate(one, address), announcementTimeout, false,
            [this, to, incarnation = to == nullptr ? 0 : to->incarnation, record](std::function<void(bool)> answer) {
                deliver(*to, incarnation, [to, record, answer = std::move(answer)] {
                    to->core->onAnnouncement(record);
                    answer(true);
                });
            },
            std::move(done));
    };
    return calls;
}

auto sim_hosts::start(sim_host &one) -> void
{
    ++one.incarnation;
    one.up = true;
    one.frozenUntil = 0;
    one.newestConfig = 0;
    const fleet_caller caller{portOf(one), [&one] { return !one.cutFromWorkers; },
                              [this, &one] {
                                  return isInTouch(one);
                              }};
    one.time = makeTime(one);
    one.log = makeLog(one);
    one.metrics = std::make_unique<poplarpass::observe::metrics_registry>();
    one.records = m_store.callsFor(caller.port);
    one.workers = m_fleet.workersFor(caller);
    one.hosts = m_fleet.hostsFor(caller);
    one.advice = m_fleet.adviceFor(caller.port);
    one.peers = makePeers(one);
    host::host_environment environment{one.name,    one.address, largeHost,   holderTerm, one.time,
                                       one.records, one.workers, one.hosts,   one.advice, one.peers,
                                       decoders,    *one.log,    *one.metrics};
    one.core = std::make_unique<host::host_core>(std::move(environment));
    one.core->start();
}

auto sim_hosts::kill(sim_host &one) -> void
{
    if (one.up) {
        one.up = false;
        one.troubledAt = m_network.nowMs();
        one.core.reset();
    }
}

auto sim_hosts::restart(sim_host &one) -> void
{
    if (!one.up || m_network.nowMs() < one.frozenUntil) {
        return;
    }
    one.troubledAt = m_network.nowMs();
    one.core->standDown();
    m_network.time.after(stopTime, [this, &one, incarnation = one.incarnation] {
        if (one.up && one.incarnation == incarnation) {
            kill(one);
            start(one);
        }
    });
}

auto sim_hosts::freeze(sim_host &one, core::duration time) -> void
{
    one.troubledAt = m_network.nowMs();
    const auto end = m_network.nowMs() + std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    one.frozenUntil = std::max(one.frozenUntil, end);
}

auto sim_hosts::isInTouch(const sim_host &one) const -> bool
{
    const auto now = m_network.nowMs();
    return one.up && now > one.troubledAt + contactMs && now > storeTroubledAt + contactMs;
}

auto sim_hosts::tick() -> void
{
    const auto now = m_network.nowMs();
    const auto &faults = m_store.faults;
    if (faults.down || faults.slow.count() > 0 || faults.lostAnswers > 0 || faults.lateAppends > 0) {
        storeTroubledAt = now;
    }
    for (const auto &one : m_hosts) {
        const bool troubled = now < one->frozenUntil || one->cutFromWorkers || !one->cutFromHosts.empty()
            || !m_store.serves(one->name) || !one->up;
        if (troubled) {
            one->troubledAt = now;
        }
        if (!one->up) {
            continue;
        }
        const auto version = one->core->routes().config().version;
        if (version < one->newestConfig) {
            rules->broken("CONFIG", one->name + " reverts to configuration version " + std::to_string(version));
        }
        one->newestConfig = version;
    }
}

auto sim_hosts::currentOwner() -> sim_host *
{
    sim_host *found = nullptr;
    for (const auto &one : m_hosts) {
        if (one->up && one->core->ownsPools()) {
            if (found != nullptr) {
                return nullptr;
            }
            found = one.get();
        }
    }
    return found;
}

auto sim_hosts::send(sim_host &one, const net::http_request &call,
                     std::function<void(std::optional<net::http_response>)> done) -> void
{
    using answer_type = std::optional<net::http_response>;
    const process_port caller{"caller", [](const std::function<void()> &action) {
                                  action();
                              }};
    call_fate fate;
    fate.arrives = one.up;
    m_network.call<answer_type>(
        caller, fate, one.up ? callerTimeout : m_network.pickTime(1, 5), std::nullopt,
        [this, &one, incarnation = one.incarnation, call](std::function<void(answer_type)> answer) {
            deliver(one, incarnation, [&one, incarnation, call, answer = std::move(answer)] {
                auto read = host::readCallerRequest(call, one.core->routes());
                if (!read) {
                    answer(std::move(read.error()));
                    return;
                }
                one.core->take(std::move(read->request), read->time,
                               [&one, incarnation, answer](net::http_response response) {
                                   // A terminated process sends no answers.
                                   if (one.up && one.incarnation == incarnation) {
                                       answer(std::move(response));
                                   }
                               });
            });
        },
        std::move(done));
}
} // namespace tests::system_sim
