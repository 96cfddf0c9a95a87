#include <poplarpass/host/authentication_log.h>
#include <poplarpass/host/constants.h>
#include <poplarpass/host/host_core.h>
#include <poplarpass/owner/handover.h>

#include <functional>
#include <utility>

namespace poplarpass::host
{
using observe::log_level;

namespace
{
constexpr core::duration recentStartPeriod = std::chrono::seconds{15};
} // namespace

host_core::host_core(host_environment environment)
    : m_env{std::move(environment)}
    , m_appends{m_env.records, m_env.time,
                [this](store::topic to, unsigned copy) {
                    m_env.metrics
                        .counterOf("poplarpass_append_repeats_total", "Further copies of appends with overdue answers",
                                   {{"topic", std::string{nameOf(to)}}})
                        .add();
                    m_env.log.log(observe::log_level::info, "append_repeated", {{"topic", nameOf(to)}, {"copy", copy}});
                }}
    , m_records{m_appends.calls()}
    , m_startedAt{m_env.time.now()}
    , m_config{m_env.time,
               m_records,
               m_env.log,
               m_env.decoders.operators,
               m_routes,
               [this] {
                   if (m_owner) {
                       m_owner->onConfig();
                   }
               }}
    , m_election{m_env.time, m_records, m_env.log, m_env.name, m_env.address, makeElectionHooks()}
    , m_announcer{m_env.time, m_records,  m_env.peers,
                  m_env.log,  m_env.name, {m_env.address, !owner::isSmallHost(m_env.resources)}}
    , m_forwarder{makeForwarder()}
{
}

auto host_core::makeForwarder() -> request_forwarder
{
    return request_forwarder{{m_env.time, m_env.peers, m_routes, m_env.log,
                              [this](const client_request &request, response_callback answer) {
                                  return handleAsOwner(request, std::move(answer));
                              },
                              [this] { return ownerAddress(); }, [this] { return ownerEpoch(); }, processName(),
                              [this](const client_request &request) {
                                  return refuseUnconfirmed(request);
                              }}};
}

auto host_core::makeElectionHooks() -> election_hooks
{
    election_hooks hooks;
    hooks.onElected = [this](std::uint64_t epoch, core::monotonic_time claimedAt) {
        onElected(epoch, claimedAt);
    };
    hooks.onRenewing = [this](core::monotonic_time sentAt, core::duration electionTimeout) {
        if (m_owner) {
            m_owner->onRenewing(sentAt, electionTimeout);
        }
    };
    hooks.onRenewed = [this](core::monotonic_time sentAt, core::duration electionTimeout) {
        if (m_owner) {
            m_owner->onRenewed(sentAt, electionTimeout);
            yieldIfSmall();
        }
    };
    hooks.onFencingToken = [this](std::uint64_t token) {
        if (m_owner) {
            m_owner->onFencingToken(token);
        }
    };
    hooks.onOwnershipLost = [this] {
        onOwnershipLost();
    };
    hooks.rank = [this] {
        return rank();
    };
    return hooks;
}

auto host_core::start() -> void
{
    m_announcer.registerHost();
    m_config.start();
    m_election.start();
}

auto host_core::onElected(std::uint64_t epoch, core::monotonic_time claimedAt) -> void
{
    pool_owner_environment environment{
        m_env.time,
        m_records,
        m_env.workers,
        m_routes,
        m_env.log,
        m_env.metrics,
        m_env.decoders,
        m_env.advice,
        m_env.hosts,
        m_env.name,
        m_env.holderTerm,
        [this]() -> const std::map<std::string, std::string> & { return m_config.otherRecords(); },
        [this] { onOwnershipLost(); },
        [this] {
            return configStanding();
        }};
    m_owner = std::make_unique<pool_owner>(std::move(environment), epoch, claimedAt, m_election.formerOwners());
    m_owner->start();
    m_announcer.announce(
        {owner::owner_record_kind::claim, epoch, m_env.name, m_env.address, owner::longElectionTimeout},
        [this](const std::string &host) {
            if (m_owner) {
                m_owner->onAnnouncementAcknowledged(host);
            }
        });
}

auto host_core::onOwnershipLost() -> void
{
    if (m_owner) {
        m_env.log.log(log_level::warning, "owner_ends", {{"epoch", m_owner->epoch()}});
        m_owner.reset();
    }
    m_announcer.stop();
    m_election.clearOwnership();
}

auto host_core::handleRequest(client_request request, core::duration time, response_callback answer) -> void
{
    m_forwarder.handleRequest(std::move(request), time, std::move(answer));
}

auto host_core::handleForwardedRequest(const client_request &request, response_callback answer) -> void
{
    if (m_owner) {
        m_owner->handle(request, std::move(answer));
    } else {
        answer(plainResponse(notOwnerStatus, "not_owner"));
    }
}

auto host_core::handleAsOwner(const client_request &request, response_callback answer) -> bool
{
    if (!m_owner) {
        return false;
    }
    m_owner->handle(request, std::move(answer));
    return true;
}

auto host_core::onAnnouncement(const owner::owner_record &record) -> void
{
    m_election.onAnnouncement(record);
}

auto host_core::relinquishOwnership(core::monotonic_time deadline) -> void
{
    m_stopping = true;
    m_forwarder.answerBy(deadline);
    m_election.disableClaims();
    const auto resignation = [this] {
        m_election.resign([this] {
            m_env.log.log(log_level::info, "resigned", {});
            m_announcer.stop();
            m_owner.reset();
        });
    };
    if (m_owner && m_owner->isServing()) {
        m_owner->resign(resignation);
    } else {
        resignation();
    }
}

auto host_core::yieldIfSmall() -> void
{
    const bool yields = m_owner->isServing()
        && owner::shouldYield({owner::isSmallHost(m_env.resources), m_announcer.hasLargeHostAcknowledged(),
                               m_owner->servingFor(), m_election.renewalLatency()});
    if (!yields) {
        return;
    }
    m_env.log.log(log_level::info, "owner_yields", {{"epoch", m_owner->epoch()}, {"reason", "small_host"}});
    m_owner->resign([this] {
        m_election.yield(owner::yieldPause, [this] {
            m_env.log.log(log_level::info, "resigned", {});
            m_announcer.stop();
            m_owner.reset();
        });
    });
}

auto host_core::ownerAddress() const -> std::optional<std::string>
{
    const auto &current = m_election.current();
    if (!current || current->host == m_env.name) {
        return std::nullopt;
    }
    return current->address;
}

auto host_core::ownerEpoch() const -> std::uint64_t
{
    if (m_owner) {
        return m_owner->epoch();
    }
    const auto &current = m_election.current();
    return current ? current->epoch : 0;
}

// A host's processes start at different times by at least one of the two clocks.
auto host_core::processName() const -> std::string
{
    return m_env.name + "/" + std::to_string(m_startedAt.time_since_epoch().count()) + "/"
        + std::to_string(m_env.time.wallNow().time_since_epoch().count());
}

auto host_core::rank() const -> unsigned
{
    const bool recentlyStarted = m_env.time.now() - m_startedAt < recentStartPeriod;
    return owner::claimRank(m_env.name, recentlyStarted, m_env.resources);
}

auto host_core::isReady() const -> bool
{
    return !m_stopping && m_routes.config().version > 0 && m_election.current().has_value();
}

auto host_core::ownsPools() const -> bool
{
    return m_owner != nullptr;
}

auto host_core::routes() const -> const route::route_table &
{
    return m_routes;
}

auto host_core::configStanding() const -> config_standing
{
    const auto confirmedAt = m_config.confirmedAt();
    const auto age = m_env.time.now() - confirmedAt.value_or(m_startedAt);
    const bool isRecent = confirmedAt && (!m_env.maxConfigAge || age <= *m_env.maxConfigAge);
    return {isRecent && m_config.isReadable(), age, m_forwarder.newestVersion()};
}

auto host_core::refuseUnconfirmed(const client_request &request) -> std::optional<net::http_response>
{
    const auto standing = configStanding();
    if (m_routes.accounts() == nullptr || !request.key || standing.isConfirmed) {
        return std::nullopt;
    }
    const auto error = authentication_error::configuration_unconfirmed;
    recordRefusal(m_env.log, m_env.metrics, error,
                  {request.job.str(), nameOf(request.verb), m_routes.config().version, standing.age, {}});
    return refusalResponse(error);
}

auto host_core::accountReport() const -> tl::expected<account_report, account_report_refusal>
{
    if (auto report = m_owner ? m_owner->accountReport() : std::nullopt) {
        return std::move(*report);
    }
    const auto &owner = m_election.current();
    return tl::unexpected{account_report_refusal{m_routes.accounts() != nullptr, owner ? owner->host : std::string{}}};
}

auto host_core::updateMetrics() -> void
{
    if (m_owner) {
        m_owner->updateMetrics();
    }
    const auto set = [this](std::string_view name, std::string_view help, double value) {
        m_env.metrics.gaugeOf(name, help).set(value);
    };
    const auto age = [now = m_env.time.now()](core::monotonic_time since) {
        return std::chrono::duration<double>(now - since).count();
    };
    const auto &owner = m_election.current();
    set("poplarpass_owns_pools", "Whether this host owns the pools", m_owner ? 1 : 0);
    set("poplarpass_known_owner_epoch", "Epoch of the owner that this host knows; 0 for none",
        owner ? static_cast<double>(owner->epoch) : 0);
    set("poplarpass_ownership_offset", "Position up to which the records about ownership were read",
        static_cast<double>(m_election.offset()));
    set("poplarpass_ownership_age_seconds", "Since the store last answered about ownership", age(m_election.readAt()));
    set("poplarpass_config_version", "Configuration in force", static_cast<double>(m_routes.config().version));
    set("poplarpass_config_offset", "Position up to which the operator's records were read",
        static_cast<double>(m_config.offset()));
    set("poplarpass_config_age_seconds", "Since the store last answered about the configuration",
        age(m_config.readAt()));
}
} // namespace poplarpass::host
