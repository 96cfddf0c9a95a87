#include <poplarpass/app/clock.h>
#include <poplarpass/app/fleet_log.h>
#include <poplarpass/app/record_signature.h>
#include <poplarpass/codec/state_codec.h>

#include <utility>
#include <vector>

namespace poplarpass::app
{
namespace
{
// Shorter than the freshness term, because the age of a read is measured from the time at which it was sent.
constexpr core::duration longPoll = std::chrono::milliseconds{400};
constexpr core::duration retryDelay = std::chrono::milliseconds{200};
constexpr core::duration publicationTick = std::chrono::milliseconds{50};
} // namespace

fleet_log::fleet_log(boost::asio::io_context &loop, const platform::log_service &service, std::string_view secret,
                     fleet_log_hooks hooks)
    : m_loop{loop}
    , m_service{service}
    , m_authenticator{makeRecordAuthenticator(secret)}
    , m_hooks{std::move(hooks)}
    , m_follower{makeDecoder(),
                 [this](replication::log_offset offset, const core::record_id &id, const replication::record &change,
                        const replication::applied &outcome) {
                     for (const auto &target : m_publications) {
                         target->publisher.recordApplied(offset, id, outcome);
                     }
                     if (m_hooks.onApplied) {
                         m_hooks.onApplied(offset, id, change, outcome);
                     }
                 },
                 [this](const replication::fleet_state &state) {
                     for (const auto &target : m_publications) {
                         target->publisher.stateReplaced(state);
                     }
                     if (m_hooks.onReplaced) {
                         m_hooks.onReplaced(state);
                     }
                 }}
    , m_alive{std::make_shared<bool>(true)}
{
}

fleet_log::~fleet_log()
{
    stop();
}

auto fleet_log::makeDecoder() -> replication::log_decoder
{
    return {[this](std::string_view bytes) { return codec::decodeSigned(bytes, m_authenticator); }, codec::decodeState};
}

auto fleet_log::start() -> void
{
    *m_alive = true;
    m_ticker = std::make_unique<ticker>(m_loop, publicationTick, [this] { advanceAll(); });
    read();
}

auto fleet_log::stop() -> void
{
    // Callbacks of pending calls hold the old flag and return without effect.
    *m_alive = false;
    m_alive = std::make_shared<bool>(false);
    m_ticker.reset();
}

auto fleet_log::read() -> void
{
    const auto from = m_follower.nextRead();
    const auto sentAt = monotonicNow();
    const auto wait = m_follower.mayWait() ? longPoll : core::duration{0};
    m_service.read(from, wait, [this, alive = m_alive, from, sentAt](const core::result<platform::log_page> &page) {
        if (*alive) {
            readDone(from, sentAt, page);
        }
    });
}

auto fleet_log::readDone(replication::log_offset from, core::monotonic_time sentAt,
                         const core::result<platform::log_page> &page) -> void
{
    const auto before = m_follower.caughtUpAt();
    if (page) {
        m_follower.pageRead(from, *page, sentAt);
    } else {
        m_follower.readFailed(from, page.error());
    }
    const auto after = m_follower.caughtUpAt();
    if (after && after != before && m_hooks.onReadToEnd) {
        m_hooks.onReadToEnd(*after);
    }
    advanceAll();
    if (page) {
        read();
        return;
    }
    callAfter(m_loop, retryDelay, [this, alive = m_alive] {
        if (*alive) {
            read();
        }
    });
}

auto fleet_log::publish(const core::record_id &id, const replication::record &change, core::duration timeout,
                        std::function<void(replication::publish_outcome)> done) -> void
{
    const auto now = monotonicNow();
    replication::publish_options options;
    options.deadline = now + timeout;
    options.superseded = replication::supersededCheckOf(change);
    auto target =
        std::make_shared<publication>(publication{replication::publisher{id, std::move(options), now},
                                                  codec::encodeSigned(change, m_authenticator), std::move(done)});
    m_publications.push_back(target);
    advance(target);
}

auto fleet_log::advanceAll() -> void
{
    // Iterates over a copy, because a finished publication may start another one.
    const std::vector<std::shared_ptr<publication>> all{m_publications.begin(), m_publications.end()};
    for (const auto &target : all) {
        target->publisher.observe(m_follower);
        advance(target);
    }
}

auto fleet_log::advance(const std::shared_ptr<publication> &target) -> void
{
    const auto now = monotonicNow();
    target->publisher.tick(now);
    if (target->publisher.shouldAppend(now)) {
        target->publisher.appendSent();
        m_service.append(target->publisher.id(), target->bytes,
                         [alive = m_alive, target](const core::result<platform::log_offset> &answer) {
                             if (*alive) {
                                 target->publisher.appendCompleted(answer, monotonicNow());
                             }
                         });
    }
    if (target->publisher.outcome() && std::erase(m_publications, target) != 0) {
        target->done(*target->publisher.outcome());
    }
}

auto fleet_log::append(const core::record_id &id, const replication::record &change,
                       std::function<void(core::result<replication::log_offset>)> done) -> void
{
    m_service.append(id, codec::encodeSigned(change, m_authenticator),
                     [alive = m_alive, done = std::move(done)](const core::result<platform::log_offset> &answer) {
                         if (*alive) {
                             done(answer);
                         }
                     });
}

auto fleet_log::follower() -> replication::log_follower &
{
    return m_follower;
}

auto fleet_log::state() const -> const replication::fleet_state &
{
    return m_follower.state();
}
} // namespace poplarpass::app
