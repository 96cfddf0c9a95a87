#include "sim_hosts.h"

#include <poplarpass/host/caller_request.h>

#include <cstdlib>
#include <iostream>

namespace tests::system_sim
{
namespace
{
constexpr std::string_view eventKey = "event=";
constexpr std::int64_t faultClearanceMs = 3000;
constexpr core::duration callerTimeout = std::chrono::milliseconds{3000};
constexpr core::duration forwardTimeout = std::chrono::milliseconds{1200};
constexpr core::duration announcementTimeout = std::chrono::milliseconds{600};
constexpr owner::host_resources largeHost{1, 1000};
constexpr owner::host_resources smallHost{0.1, 10};
/// Each host with a number divisible by this is small.
constexpr std::size_t smallHostInterval = 3;
constexpr core::duration holderTerm = std::chrono::seconds{3};
constexpr core::duration shutdownTime = std::chrono::milliseconds{5300};
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
    for (const auto &simHost : m_hosts) {
        if (simHost->address == address) {
            return simHost.get();
        }
    }
    return nullptr;
}

auto sim_hosts::add(const std::string &name) -> void
{
    m_hosts.push_back(std::make_unique<sim_host>());
    auto &simHost = *m_hosts.back();
    simHost.name = name;
    simHost.address = "10.1.0." + std::to_string(m_hosts.size()) + ":1";
    simHost.resources = m_hosts.size() % smallHostInterval == 0 ? smallHost : largeHost;
    simHost.lastFaultAt = -faultClearanceMs;
    start(simHost);
}

auto sim_hosts::deliver(sim_host &simHost, std::uint64_t incarnation, const std::function<void()> &action) -> void
{
    if (!simHost.up || simHost.incarnation != incarnation) {
        return;
    }
    const auto now = m_network.nowMs();
    if (now < simHost.suspendedUntil) {
        m_network.time.after(std::chrono::milliseconds{simHost.suspendedUntil - now},
                             [this, &simHost, incarnation, action] { deliver(simHost, incarnation, action); });
        return;
    }
    action();
}

auto sim_hosts::portOf(sim_host &simHost) -> process_port
{
    return {simHost.name, [this, &simHost, incarnation = simHost.incarnation](const std::function<void()> &action) {
                deliver(simHost, incarnation, action);
            }};
}

auto sim_hosts::makeTime(sim_host &simHost) -> core::time_source
{
    auto made = m_network.time.source();
    made.callAfter = [this, &simHost, incarnation = simHost.incarnation](core::duration delay,
                                                                         const std::function<void()> &action) {
        m_network.time.after(delay, [this, &simHost, incarnation, action] { deliver(simHost, incarnation, action); });
    };
    return made;
}

// The hosts' logs are printed if POPLARPASS_SIM_LOG is set.
auto sim_hosts::makeLog(sim_host &simHost) -> std::unique_ptr<poplarpass::observe::logger>
{
    poplarpass::observe::logger_options options;
    options.processName = simHost.name;
    options.burst = 100'000;
    options.now = [this] {
        return m_network.time.wallNow();
    };
    const bool printLog = std::getenv("POPLARPASS_SIM_LOG") != nullptr;
    options.sink = [this, printLog](poplarpass::observe::log_level, std::string_view line) {
        const auto begin = line.find(eventKey);
        if (begin != std::string_view::npos) {
            const auto name = line.substr(begin + eventKey.size());
            const auto event = name.substr(0, name.find(' '));
            eventNames.emplace(event);
            takeovers += event == "owner_elected" ? 1 : 0;
        }
        if (printLog) {
            std::cout << m_network.nowMs() << ' ' << line << '\n';
        }
    };
    return std::make_unique<poplarpass::observe::logger>(std::move(options));
}

auto sim_hosts::peerDelivery(const sim_host &from, const std::string &address) -> call_delivery
{
    const auto *target = find(address);
    call_delivery delivery;
    delivery.arrives = target != nullptr && target->up && !from.cutFromHosts.contains(target->name);
    delivery.answered = target != nullptr && !target->cutFromHosts.contains(from.name);
    return delivery;
}

auto sim_hosts::makePeers(sim_host &simHost) -> host::peer_calls
{
    host::peer_calls calls;
    calls.forwardRequest = [this, &simHost, port = portOf(simHost)](const std::string &address,
                                                                    const host::client_request &request,
                                                                    std::function<void(host::peer_answer)> done) {
        auto delivery = peerDelivery(simHost, address);
        if (m_network.randomBool(lateForwards)) {
            delivery.executionDelay = m_network.randomDuration(300, 5000);
        }
        auto *target = find(address);
        const bool refused = target != nullptr && !target->up;
        m_network.call<host::peer_answer>(
            port, delivery, refused ? m_network.randomDuration(1, 5) : forwardTimeout, {std::nullopt, !refused},
            [this, target, incarnation = target == nullptr ? 0 : target->incarnation,
             request](std::function<void(host::peer_answer)> answer) {
                deliver(*target, incarnation, [target, request, answer = std::move(answer)] {
                    target->core->handleForwardedRequest(request, [answer](net::http_response response) {
                        answer({std::move(response), true});
                    });
                });
            },
            std::move(done));
    };
    calls.announce = [this, &simHost, port = portOf(simHost)](const std::string &address,
                                                              const owner::owner_record &record,
                                                              std::function<void(bool)> done) {
        auto *target = find(address);
        m_network.call<bool>(
            port, peerDelivery(simHost, address), announcementTimeout, false,
            [this, target, incarnation = target == nullptr ? 0 : target->incarnation,
             record](std::function<void(bool)> answer) {
                deliver(*target, incarnation, [target, record, answer = std::move(answer)] {
                    target->core->onAnnouncement(record);
                    answer(true);
                });
            },
            std::move(done));
    };
    return calls;
}

auto sim_hosts::start(sim_host &simHost) -> void
{
    ++simHost.incarnation;
    simHost.up = true;
    simHost.suspendedUntil = 0;
    simHost.latestConfigVersion = 0;
    const fleet_caller caller{portOf(simHost), [&simHost] { return !simHost.cutFromWorkers; },
                              [this, &simHost] {
                                  return isHealthy(simHost);
                              }};
    simHost.time = makeTime(simHost);
    simHost.log = makeLog(simHost);
    simHost.metrics = std::make_unique<poplarpass::observe::metrics_registry>();
    simHost.records = m_store.callsFor(caller.port);
    simHost.workers = m_fleet.workersFor(caller);
    simHost.hosts = m_fleet.hostsFor(caller);
    simHost.advice = m_fleet.adviceFor(caller.port);
    simHost.peers = makePeers(simHost);
    host::host_environment environment{
        simHost.name,  simHost.address, simHost.resources, holderTerm, simHost.time, simHost.records, simHost.workers,
        simHost.hosts, simHost.advice,  simHost.peers,     decoders,   *simHost.log, *simHost.metrics};
    simHost.core = std::make_unique<host::host_core>(std::move(environment));
    simHost.core->start();
}

auto sim_hosts::kill(sim_host &simHost) -> void
{
    if (simHost.up) {
        simHost.up = false;
        simHost.lastFaultAt = m_network.nowMs();
        simHost.core.reset();
    }
}

auto sim_hosts::restart(sim_host &simHost) -> void
{
    if (!simHost.up || m_network.nowMs() < simHost.suspendedUntil) {
        return;
    }
    simHost.lastFaultAt = m_network.nowMs();
    simHost.core->relinquishOwnership(m_network.time.now() + shutdownTime - host::finalAnswerMargin);
    m_network.time.after(shutdownTime, [this, &simHost, incarnation = simHost.incarnation] {
        if (simHost.up && simHost.incarnation == incarnation) {
            kill(simHost);
            start(simHost);
        }
    });
}

auto sim_hosts::suspend(sim_host &simHost, core::duration time) -> void
{
    simHost.lastFaultAt = m_network.nowMs();
    const auto end = m_network.nowMs() + std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    simHost.suspendedUntil = std::max(simHost.suspendedUntil, end);
}

auto sim_hosts::isHealthy(const sim_host &simHost) const -> bool
{
    const auto now = m_network.nowMs();
    return simHost.up && now > simHost.lastFaultAt + faultClearanceMs && now > storeLastFaultAt + faultClearanceMs;
}

auto sim_hosts::tick() -> void
{
    const auto now = m_network.nowMs();
    const auto &faults = m_store.faults;
    if (faults.down || faults.addedLatency.count() > 0 || faults.lostAnswers > 0 || faults.lateAppends > 0) {
        storeLastFaultAt = now;
    }
    for (const auto &simHost : m_hosts) {
        const bool faulty = now < simHost->suspendedUntil || simHost->cutFromWorkers || !simHost->cutFromHosts.empty()
            || !m_store.serves(simHost->name) || !simHost->up;
        if (faulty) {
            simHost->lastFaultAt = now;
        }
        if (!simHost->up) {
            continue;
        }
        const auto version = simHost->core->routes().config().version;
        if (version < simHost->latestConfigVersion) {
            rules->reportViolation("CONFIG",
                                   simHost->name + " reverts to configuration version " + std::to_string(version));
        }
        simHost->latestConfigVersion = version;
    }
}

auto sim_hosts::currentOwner() -> sim_host *
{
    sim_host *found = nullptr;
    for (const auto &simHost : m_hosts) {
        if (simHost->up && simHost->core->ownsPools()) {
            if (found != nullptr) {
                return nullptr;
            }
            found = simHost.get();
        }
    }
    return found;
}

auto sim_hosts::send(sim_host &simHost, const net::http_request &call,
                     std::function<void(std::optional<net::http_response>)> done) -> void
{
    using response_type = std::optional<net::http_response>;
    const process_port caller{"caller", [](const std::function<void()> &action) {
                                  action();
                              }};
    call_delivery delivery;
    delivery.arrives = simHost.up;
    m_network.call<response_type>(
        caller, delivery, simHost.up ? callerTimeout : m_network.randomDuration(1, 5), std::nullopt,
        [this, &simHost, incarnation = simHost.incarnation, call](std::function<void(response_type)> answer) {
            deliver(simHost, incarnation, [&simHost, incarnation, call, answer = std::move(answer)] {
                auto read = host::parseCallerRequest(call, simHost.core->routes(), simHost.core->configStanding());
                if (!read) {
                    answer(std::move(read.error().response));
                    return;
                }
                simHost.core->handleRequest(std::move(read->request), read->time,
                                            [&simHost, incarnation, answer](net::http_response response) {
                                                // A terminated process sends no answers.
                                                if (simHost.up && simHost.incarnation == incarnation) {
                                                    answer(std::move(response));
                                                }
                                            });
            });
        },
        std::move(done));
}
} // namespace tests::system_sim
