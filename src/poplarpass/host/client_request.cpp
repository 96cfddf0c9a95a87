#include <poplarpass/core/parse_integer.h>
#include <poplarpass/host/client_request.h>
#include <poplarpass/host/constants.h>

#include <array>
#include <memory>
#include <utility>

namespace poplarpass::host
{
namespace
{
/// \brief Answers a request at most once, and with outcomeUnknownStatus on destruction if it was not answered before.
class answer_guard
{
public:
    explicit answer_guard(response_callback answer)
        : m_answer{std::move(answer)}
    {
    }

    ~answer_guard()
    {
        respond(plainResponse(outcomeUnknownStatus, "unsettled"));
    }

    answer_guard(const answer_guard &) = delete;
    auto operator=(const answer_guard &) -> answer_guard & = delete;

    auto respond(net::http_response response) -> void
    {
        if (const auto answer = std::exchange(m_answer, nullptr)) {
            answer(std::move(response));
        }
    }

private:
    response_callback m_answer;
};
} // namespace

auto nameOf(client_verb verb) -> std::string_view
{
    static constexpr std::array<std::string_view, 4> names{"submit", "state", "cancel", "pending"};
    return names.at(static_cast<std::size_t>(verb));
}

auto hasEffect(client_verb verb) -> bool
{
    return verb == client_verb::submit || verb == client_verb::cancel;
}

auto epochOf(const net::http_response &response) -> std::uint64_t
{
    return core::parseInteger<std::uint64_t>(response.header(epochHeader)).value_or(0);
}

auto isRefusal(const net::http_response &response) -> bool
{
    const bool isClientError = response.status >= 400 && response.status < 500;
    const bool isAnswered = response.status == noSuchJobStatus || response.status == notOwnerStatus;
    return response.status == unavailableStatus || (isClientError && !isAnswered);
}

auto isTemporaryRefusal(const net::http_response &response) -> bool
{
    return response.status == unavailableStatus || response.status == tooManyRequestsStatus;
}

auto unsettledResponse() -> net::http_response
{
    return plainResponse(unsettledStatus, "outcome_unknown");
}

auto answerExactlyOnce(response_callback answer) -> response_callback
{
    return [guard = std::make_shared<answer_guard>(std::move(answer))](net::http_response response) {
        guard->respond(std::move(response));
    };
}

auto plainResponse(int status, std::string_view reason) -> net::http_response
{
    return net::makeResponse(status, R"({"reason":")" + std::string{reason} + R"("})");
}

auto refusalResponse(int status, std::string_view reason, int retryAfter) -> net::http_response
{
    auto response = plainResponse(status, reason);
    response.headers.push_back({"Retry-After", std::to_string(retryAfter)});
    return response;
}
} // namespace poplarpass::host
