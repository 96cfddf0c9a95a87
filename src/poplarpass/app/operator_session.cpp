#include <poplarpass/app/clock.h>
#include <poplarpass/app/operator_session.h>
#include <poplarpass/request/uuid7.h>

#include <ostream>
#include <utility>

namespace poplarpass::app
{
namespace
{
constexpr core::duration readTimeout = std::chrono::seconds{10};
constexpr core::duration publishTimeout = std::chrono::seconds{20};
constexpr core::duration maxLoopWait = std::chrono::milliseconds{50};
} // namespace

operator_session::operator_session(std::string_view file, console &streams)
    : m_streams{streams}
{
    auto loaded = settings::load(file);
    if (!loaded) {
        for (const auto &settingsError : loaded.error()) {
            m_streams.err << settings::describe(settingsError) << '\n';
        }
        return;
    }
    loaded->log.level = "error";
    m_process = std::make_unique<process_runtime>(*std::move(loaded), "operator");
    fleet_log_hooks hooks;
    hooks.onApplied = [this](replication::log_offset offset, const core::record_id &, const replication::record &change,
                             const replication::applied &outcome) {
        if (const auto *revision = std::get_if<replication::config_record>(&change)) {
            m_revisions.push_back({offset, *revision, outcome});
        }
    };
    hooks.onReadToEnd = [this](core::monotonic_time) {
        m_atEnd = true;
    };
    m_fleetLog = std::make_unique<fleet_log>(m_process->loop, m_process->logService,
                                             m_process->settings.deployment.secret, std::move(hooks));
}

auto operator_session::failureCode() const -> std::optional<exit_code>
{
    return m_process ? std::nullopt : std::optional{exit_code::bad_settings};
}

auto operator_session::runUntil(const std::function<bool()> &done, core::duration limit) -> bool
{
    const auto until = monotonicNow() + limit;
    while (!done() && monotonicNow() < until) {
        m_process->loop.restart();
        m_process->loop.run_one_for(maxLoopWait);
    }
    return done();
}

auto operator_session::readToEnd() -> bool
{
    m_fleetLog->start();
    if (runUntil([this] { return m_atEnd; }, readTimeout)) {
        return true;
    }
    m_streams.err << (m_fleetLog->follower().cannotRecover()
                          ? "the log contains neither its first record nor a complete snapshot; nothing was accepted\n"
                          : "the log service did not answer in time; nothing was accepted\n");
    return false;
}

auto operator_session::publish(const core::record_id &id, const replication::record &change)
    -> replication::publish_outcome
{
    std::optional<replication::publish_outcome> known;
    m_fleetLog->publish(id, change, publishTimeout,
                        [&known](replication::publish_outcome outcome) { known = std::move(outcome); });
    runUntil([&known] { return known.has_value(); }, publishTimeout + std::chrono::seconds{1});
    return known.value_or(replication::publish_outcome{});
}

auto operator_session::state() const -> const replication::fleet_state &
{
    return m_fleetLog->state();
}

auto operator_session::revisions() const -> std::span<const logged_revision>
{
    return m_revisions;
}

auto operator_session::process() -> process_runtime &
{
    return *m_process;
}

auto operator_session::makeRecordId(std::string_view what) -> core::record_id
{
    return core::record_id{std::string{what} + '/' + request::makeUuid7(wallNow(), m_process->random).str()};
}

auto openSession(const parsed_options &options, console &streams)
    -> tl::expected<std::unique_ptr<operator_session>, exit_code>
{
    auto session = std::make_unique<operator_session>(options.value("config"), streams);
    if (const auto failureCode = session->failureCode()) {
        return tl::make_unexpected(*failureCode);
    }
    if (!session->readToEnd()) {
        return tl::make_unexpected(exit_code::failure);
    }
    return session;
}
} // namespace poplarpass::app
